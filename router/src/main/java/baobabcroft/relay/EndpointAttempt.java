package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.common.Execution;
import baobabcroft.common.Scheduler;
import baobabcroft.directory.EndpointEntry;
import baobabcroft.memory.BodyBuffer;
import baobabcroft.memory.MemoryReservation;
import baobabcroft.memory.MemoryUse;
import baobabcroft.routing.Route;
import baobabcroft.routing.RouteKind;
import com.google.common.primitives.Ints;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * One attempt of a request at one endpoint: sends the request, reads the answer and notifies the owner.
 *
 * <p>Invariant: the owner is notified of at most one end of the attempt, and of nothing after the end. Not thread-safe.
 */
final class EndpointAttempt implements ExchangeListener {
    /** Maximum length of an answer that is not a stream, in bytes: above the services' limit of a few megabytes. */
    private static final int MAX_ANSWER_BYTES = 16 << 20;

    private static final String CONTENT_LENGTH = "Content-Length";
    private static final String TRANSFER_ENCODING = "Transfer-Encoding";
    /** Maximum length of an event, in bytes. */
    private static final int MAX_EVENT_BYTES = 1 << 20;
    /** Share of the remaining time after which a request without output is retried, but not before its goal. */
    private static final double INACTIVITY_DEADLINE_SHARE = 0.4;
    /** Multiple of the route's maximum gap between events after which a stream is inactive. */
    private static final int INACTIVITY_GAP_FACTOR = 4;
    /**
     * Shortest interval at which a stream is read once its first event was received, in milliseconds. Well below the
     * gaps between events that callers notice; a read of one event costs about as much as a read of several.
     */
    private static final long EVENT_BATCH_MILLIS = 50;
    /** Silence of an endpoint that is no failure, in milliseconds: a sound one may be silent for a second. */
    private static final long SOUND_SILENCE_MILLIS = 1_500;
    /** Minimum gap for an inactive stream, in milliseconds: callers abandon a stream after two seconds or more. */
    private static final long MIN_INACTIVITY_GAP_MILLIS = 2_000;

    /** The request that the attempt belongs to. */
    interface Owner {
        /** Called with the status and headers of a success. The owner may supersede the attempt. */
        void onSuccess(EndpointAttempt attempt, AnswerMetadata answer);

        /** Called with each complete event. Returns false if events before it are missing. */
        boolean onEvent(EndpointAttempt attempt, EventSplitter.Event event);

        /** Called after all events that could be read at once were passed on. */
        void onEventsRead();

        /** Called with a complete answer that is not a stream. */
        void onAnswer(EndpointAttempt attempt, EndpointAnswer answer);

        /** Called when the stream has ended after its last event. */
        void onStreamEnd(EndpointAttempt attempt);

        /** Called when the attempt has failed, with whether the request may have run. */
        void onFailed(EndpointAttempt attempt, Execution execution);

        /** Called when the attempt has failed before anything was sent. */
        void onUnsent(EndpointAttempt attempt);

        /**
         * Called when another endpoint is likely to be faster: nothing was received for long, or a response to another
         * request, which may have been joined with the awaited one.
         */
        void onStalled(EndpointAttempt attempt);

        /** Returns the time left until the request's deadline, in milliseconds. */
        long remainingMillis();
    }

    private final RelayServices services;
    private final Admission.Admitted admitted;
    private final EndpointEntry endpoint;
    private final EndpointLoads.InFlightRequest inFlightRequest;
    private final Owner owner;
    private final AttemptMonitor monitor;
    private final SendPermit permit;
    private final long startedAtMillis;
    private final EventSplitter events = new EventSplitter();
    private final MemoryReservation answerMemory;
    private final MemoryReservation eventMemory;
    private BodyBuffer body = BodyBuffer.ofUnknownLength();
    private EndpointTransport.Exchange exchange = () -> {};
    private Scheduler.Cancellable inactivityTimer = () -> {};
    private long timerAtMillis = Long.MAX_VALUE;
    private long inactiveAtMillis;
    private long heardAtMillis;
    private int status;
    private Headers headers = Headers.EMPTY;
    private boolean eventStream;
    /** Whether a response to another request may have been joined with the awaited one. */
    private boolean framingInDoubt;

    private boolean firstOutput;
    private long lastEventId = -1;
    private boolean ended;

    private EndpointAttempt(
            RelayServices services,
            Admission.Admitted admitted,
            EndpointEntry endpoint,
            EndpointLoads.InFlightRequest inFlightRequest,
            Owner owner) {
        this.services = services;
        this.admitted = admitted;
        this.endpoint = endpoint;
        this.inFlightRequest = inFlightRequest;
        this.owner = owner;
        this.monitor = services.versionSelector().monitorAttempt(endpoint, admitted.route());
        this.permit = services.availability().permit(endpoint);
        this.answerMemory = services.memory().reserve(MemoryUse.ANSWER);
        this.eventMemory = services.memory().reserve(MemoryUse.EVENT);
        this.startedAtMillis = services.nowMillis().getAsLong();
    }

    /** Sends a request to an endpoint and returns the attempt in progress. */
    static EndpointAttempt start(
            RelayServices services,
            Admission.Admitted admitted,
            EndpointEntry endpoint,
            EndpointLoads.InFlightRequest inFlightRequest,
            EndpointRequest request,
            Owner owner) {
        EndpointAttempt attempt =
                new EndpointAttempt(services, admitted, endpoint, inFlightRequest, checkNotNull(owner));
        attempt.exchange = services.transport().send(endpoint, request, attempt);
        attempt.awaitFirstOutput();
        return attempt;
    }

    EndpointEntry endpoint() {
        return endpoint;
    }

    /** Returns the HTTP status of the answer; 0 before it is received. */
    int status() {
        return status;
    }

    /** Returns the headers of the answer; empty before they are received. */
    Headers headers() {
        return headers;
    }

    /** Cancels the attempt because the request has ended; no failure of the endpoint. */
    void cancel() {
        if (close()) {
            inFlightRequest.cancelled();
            monitor.ended(AttemptResult.ABANDONED);
            exchange.cancel();
        }
    }

    /** Cancels the attempt because a larger model replaces it. */
    void supersede() {
        if (close()) {
            inFlightRequest.firstOutputReceived();
            inFlightRequest.answered(false);
            monitor.ended(AttemptResult.SUPERSEDED);
            services.listener().onAttemptFailed(admitted.metadata().requestId(), endpoint, "asked_larger_model");
            exchange.cancel();
        }
    }

    /** Cancels the attempt because it has stalled and another one replaces it. */
    void giveUpStalled() {
        if (close()) {
            boolean silent = services.nowMillis().getAsLong() - heardAtMillis > SOUND_SILENCE_MILLIS;
            if (silent || framingInDoubt) {
                inFlightRequest.answered(true);
                monitor.ended(AttemptResult.FAILED);
            } else {
                inFlightRequest.cancelled();
                monitor.ended(AttemptResult.ABANDONED);
            }
            services.listener()
                    .onAttemptFailed(
                            admitted.metadata().requestId(), endpoint, framingInDoubt ? "framing_in_doubt" : "silent");
            exchange.cancel();
        }
    }

    private Route route() {
        return admitted.route();
    }

    /** Waits for the first output. A dead connection that sends no reset shows only by its inactivity. */
    private void awaitFirstOutput() {
        restartInactivityTimer(Math.max(
                route().goalMillis(), (long) (INACTIVITY_DEADLINE_SHARE * Math.max(0, owner.remainingMillis()))));
    }

    private void awaitNextEvent() {
        restartInactivityTimer(Math.max(MIN_INACTIVITY_GAP_MILLIS, INACTIVITY_GAP_FACTOR * route().maxGapMillis()));
    }

    private void restartInactivityTimer(long waitMillis) {
        heardAtMillis = services.nowMillis().getAsLong();
        inactiveAtMillis = heardAtMillis + waitMillis;
        if (inactiveAtMillis < timerAtMillis) {
            armInactivityTimer();
        }
    }

    /** Arms the timer for the current deadline. A deadline that is later by then re-arms it. */
    private void armInactivityTimer() {
        inactivityTimer.cancel();
        if (route().isRepeatable() && !ended) {
            timerAtMillis = inactiveAtMillis;
            long waitMillis = inactiveAtMillis - services.nowMillis().getAsLong();
            inactivityTimer = services.scheduler().schedule(waitMillis, this::onInactivityTimer);
        }
    }

    private void onInactivityTimer() {
        timerAtMillis = Long.MAX_VALUE;
        if (ended) {
            return;
        }
        if (services.nowMillis().getAsLong() < inactiveAtMillis) {
            armInactivityTimer();
        } else {
            owner.onStalled(this);
        }
    }

    @Override
    public boolean confirmSend() {
        boolean placeable = services.eligibility()
                .isPlaceable(endpoint, admitted.eligibilityRequest(endpoint.service(), Optional.empty()));
        return placeable && permit.confirm();
    }

    @Override
    public void onOtherHead(int otherStatus, Headers otherHeaders) {
        services.availability().onOtherAnswer(endpoint, services.dialect().readAnswer(otherStatus, otherHeaders));
    }

    @Override
    public void onFramingInDoubt() {
        if (!ended && !framingInDoubt && route().isRepeatable()) {
            framingInDoubt = true;
            owner.onStalled(this);
        }
    }

    @Override
    public void onHead(int newStatus, Headers newHeaders) {
        AnswerMetadata answer = services.dialect().readAnswer(newStatus, newHeaders);
        services.availability().onAnswer(endpoint, answer, startedAtMillis);
        if (ended) {
            return;
        }
        status = newStatus;
        headers = newHeaders;
        if (answer.notRun()) {
            endNotRun(answer.otherEndpoint() ? "other_endpoint" : "not_run_by_endpoint");
            owner.onFailed(this, Execution.NOT_RUN);
            return;
        }
        if (answer.promisesNotRun()) {
            onFailure(SendFailure.REJECTION_UNPROVEN);
            return;
        }
        boolean success = status >= 200 && status < 300;
        if (success && (!answer.stamped() || answer.encoded())) {
            onFailure(SendFailure.ANSWER_MALFORMED);
            return;
        }
        eventStream = success && route().kind() == RouteKind.STREAMING;
        if (success) {
            owner.onSuccess(this, answer);
        }
    }

    private void endNotRun(String reason) {
        close();
        inFlightRequest.rejected();
        monitor.ended(AttemptResult.NOT_RUN);
        services.listener().onAttemptFailed(admitted.metadata().requestId(), endpoint, reason);
        exchange.cancel();
    }

    @Override
    public void onData(byte[] data) {
        if (ended) {
            return;
        }
        if (eventStream) {
            readEvents(data);
            return;
        }
        if (body.size() == 0) {
            body = statedLength().map(BodyBuffer::ofLength).orElseGet(BodyBuffer::ofUnknownLength);
        }
        boolean fits = answerMemory.resize(body.heldBytesAfter(data.length));
        if (!fits || body.size() + data.length > MAX_ANSWER_BYTES) {
            onFailure(SendFailure.ANSWER_TOO_LARGE);
            return;
        }
        body.add(ByteBuffer.wrap(data));
    }

    /** Returns the length of the answer in bytes, if it is stated and within the limit. */
    private Optional<Integer> statedLength() {
        return headers.first(CONTENT_LENGTH)
                .map(Ints::tryParse)
                .filter(bytes -> bytes > 0 && bytes <= MAX_ANSWER_BYTES);
    }

    private void readEvents(byte[] data) {
        List<EventSplitter.Event> completed = events.feed(data);
        for (EventSplitter.Event event : completed) {
            if (ended) {
                return;
            }
            if (isJoined(event.bytes()) || !owner.onEvent(this, event)) {
                onFailure(SendFailure.ANSWER_MALFORMED);
                return;
            }
            if (isProgress(event)) {
                markFirstOutput();
                awaitNextEvent();
            }
        }
        if (!ended && (!eventMemory.resize(events.heldBytes()) || events.pendingBytes() > MAX_EVENT_BYTES)) {
            onFailure(SendFailure.ANSWER_TOO_LARGE);
        }
    }

    /**
     * Returns whether bytes contain another answer. A body with a length or chunks may quote one that does not name a
     * request.
     */
    private boolean isJoined(byte[] bytes) {
        boolean delimited = !eventStream
                && (headers.first(CONTENT_LENGTH).isPresent()
                        || headers.first(TRANSFER_ENCODING).isPresent());
        return services.dialect().containsAnswer(bytes) || (!delimited && TrailingResponses.follow(bytes));
    }

    /** Comments, empty events and repetitions are none: an endpoint that sends only these has stalled. */
    private boolean isProgress(EventSplitter.Event event) {
        if (event.id().isEmpty()) {
            return event.hasData();
        }
        long id = event.id().getAsLong();
        boolean isNew = id > lastEventId;
        lastEventId = Math.max(lastEventId, id);
        return isNew && event.hasData();
    }

    private void markFirstOutput() {
        if (!firstOutput) {
            firstOutput = true;
            inFlightRequest.firstOutputReceived();
            monitor.firstOutputReceived();
            exchange.readEvery(EVENT_BATCH_MILLIS);
        }
    }

    @Override
    public void onReadComplete() {
        if (!ended) {
            owner.onEventsRead();
        }
    }

    @Override
    public void onEnd() {
        if (ended) {
            return;
        }
        if (eventStream && events.hasPartialEvent()) {
            onFailure(SendFailure.CONNECTION_LOST);
            return;
        }
        byte[] content = body.take();
        if (isJoined(content)) {
            onFailure(SendFailure.ANSWER_MALFORMED);
            return;
        }
        close();
        boolean endpointFailed = !eventStream && status >= 500;
        inFlightRequest.answered(endpointFailed);
        monitor.ended(endpointFailed ? AttemptResult.FAILED : AttemptResult.ANSWERED);
        if (!endpointFailed) {
            services.poisonDetector().onAnswered(admitted.identity());
        }
        if (eventStream) {
            owner.onStreamEnd(this);
        } else {
            owner.onAnswer(this, new EndpointAnswer(status, headers, content));
        }
    }

    @Override
    public void onFailure(SendFailure failure) {
        if (failure == SendFailure.ENDPOINT_UNAVAILABLE && !ended) {
            endNotRun("endpoint_unavailable");
            owner.onUnsent(this);
            return;
        }
        if (!close()) {
            return;
        }
        exchange.cancel();
        if (failure == SendFailure.CONNECT_TIMEOUT) {
            inFlightRequest.connectTimedOut();
        } else {
            inFlightRequest.failed();
        }
        services.listener()
                .onAttemptFailed(
                        admitted.metadata().requestId(),
                        endpoint,
                        failure.name().toLowerCase(Locale.ROOT));
        if (!failure.mayHaveRun()) {
            monitor.ended(AttemptResult.NOT_RUN);
            owner.onUnsent(this);
            return;
        }
        boolean lost = failure == SendFailure.CONNECTION_LOST;
        monitor.ended(lost ? AttemptResult.LOST : AttemptResult.FAILED);
        if (lost) {
            services.poisonDetector().onConnectionLost(admitted.identity(), endpoint);
        }
        owner.onFailed(this, Execution.MAY_HAVE_RUN);
    }

    /** Ends the attempt; returns false if it had already ended. */
    private boolean close() {
        boolean wasOpen = !ended;
        if (wasOpen) {
            body = BodyBuffer.ofUnknownLength();
            answerMemory.release();
            eventMemory.release();
        }
        ended = true;
        permit.release();
        inactivityTimer.cancel();
        return wasOpen;
    }
}
