package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.common.Execution;
import baobabcroft.common.Scheduler;
import baobabcroft.directory.EndpointEntry;
import baobabcroft.routing.Route;
import baobabcroft.routing.RouteKind;
import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * One attempt of a request at one endpoint: sends the request, reads the answer and notifies the owner.
 *
 * <p>Invariant: the owner is notified of at most one end of the attempt, and of nothing after the end. Not thread-safe.
 */
final class EndpointSend implements ExchangeListener {
    /** Maximum length of an answer that is not a stream, in bytes: above the services' limit of a few megabytes. */
    private static final int MAX_ANSWER_BYTES = 16 << 20;
    /** Maximum length of an event, in bytes. */
    private static final int MAX_EVENT_BYTES = 1 << 20;
    /** Share of the remaining time after which a request without output is retried, but not before its goal. */
    private static final double SILENT_SHARE = 0.4;
    /** Multiple of the route's maximum gap between events after which a stream is inactive. */
    private static final int SILENT_GAPS = 4;
    /** Minimum gap for an inactive stream, in milliseconds: callers abandon a stream after two seconds or more. */
    private static final long MIN_SILENT_GAP_MILLIS = 2_000;

    /** The request that the attempt belongs to. */
    interface Owner {
        /** Called with the status and headers of a success. The owner may supersede the attempt. */
        void onSuccess(EndpointSend send, AnswerFacts answer);

        /** Called with each complete event. Returns false if events before it are missing. */
        boolean onEvent(EndpointSend send, EventSplitter.Event event);

        /** Called with a complete answer that is not a stream. */
        void onAnswer(EndpointSend send, EndpointAnswer answer);

        /** Called when the stream has ended after its last event. */
        void onStreamEnd(EndpointSend send);

        /** Called when the attempt has failed, with whether the request may have run. */
        void onFailed(EndpointSend send, Execution verdict);

        /** Called when nothing was received for so long that another endpoint is likely to be faster. */
        void onSilence(EndpointSend send);

        /** Returns the time left until the request's deadline, in milliseconds. */
        long remainingMillis();
    }

    private final RelayServices services;
    private final Admission.Admitted admitted;
    private final EndpointEntry endpoint;
    private final EndpointLoads.Ticket ticket;
    private final Owner owner;
    private final long sentAtMillis;
    private final EventSplitter events = new EventSplitter();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private EndpointTransport.Exchange exchange = () -> {};
    private Scheduler.Cancellable silence = () -> {};
    private int status;
    private Headers headers = Headers.EMPTY;
    private boolean eventStream;
    private boolean firstOutput;
    private boolean over;

    private EndpointSend(
            RelayServices services,
            Admission.Admitted admitted,
            EndpointEntry endpoint,
            EndpointLoads.Ticket ticket,
            Owner owner) {
        this.services = services;
        this.admitted = admitted;
        this.endpoint = endpoint;
        this.ticket = ticket;
        this.owner = owner;
        this.sentAtMillis = services.nowMillis().getAsLong();
    }

    /** Sends a request to an endpoint and returns the attempt in progress. */
    static EndpointSend start(
            RelayServices services,
            Admission.Admitted admitted,
            EndpointEntry endpoint,
            EndpointLoads.Ticket ticket,
            EndpointRequest request,
            Owner owner) {
        EndpointSend send = new EndpointSend(services, admitted, endpoint, ticket, checkNotNull(owner));
        send.exchange = services.transport().send(endpoint, request, send);
        send.expectOutput();
        return send;
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

    /** Cancels the attempt because the request has ended; records no outcome for the endpoint. */
    void abandon() {
        if (close()) {
            ticket.abandoned();
            exchange.cancel();
        }
    }

    /** Cancels the attempt because another one replaces it; records an outcome for the endpoint. */
    void drop(String reason, boolean endpointFailed) {
        if (close()) {
            if (!endpointFailed) {
                ticket.promptRead();
            }
            counted(endpointFailed);
            services.journal().sendFailed(admitted.facts().requestId(), endpoint, reason);
            exchange.cancel();
        }
    }

    private Route route() {
        return admitted.route();
    }

    /** Waits for the first output. A dead connection that sends no reset shows only by its inactivity. */
    private void expectOutput() {
        expect(Math.max(route().goalMillis(), (long) (SILENT_SHARE * Math.max(0, owner.remainingMillis()))));
    }

    private void expectNextEvent() {
        expect(Math.max(MIN_SILENT_GAP_MILLIS, SILENT_GAPS * route().maxGapMillis()));
    }

    private void expect(long waitMillis) {
        silence.cancel();
        if (route().isRepeatable() && !over) {
            silence = services.scheduler().schedule(waitMillis, this::silent);
        }
    }

    private void silent() {
        if (!over) {
            owner.onSilence(this);
        }
    }

    @Override
    public void onHead(int newStatus, Headers newHeaders) {
        if (over) {
            return;
        }
        status = newStatus;
        headers = newHeaders;
        AnswerFacts answer = services.dialect().readAnswer(status, headers);
        if (answer.notRun()) {
            notRun(answer.otherEndpoint() ? "other_endpoint" : "not_run_by_endpoint");
            return;
        }
        boolean success = status >= 200 && status < 300;
        if (success && (!answer.receipt() || answer.encoded())) {
            onFailure(SendFailure.ANSWER_MALFORMED);
            return;
        }
        eventStream = success && route().kind() == RouteKind.STREAMING;
        if (success) {
            owner.onSuccess(this, answer);
        }
    }

    private void notRun(String reason) {
        close();
        ticket.rejected();
        services.journal().sendFailed(admitted.facts().requestId(), endpoint, reason);
        exchange.cancel();
        owner.onFailed(this, Execution.NOT_RUN);
    }

    @Override
    public void onData(byte[] data) {
        if (over) {
            return;
        }
        if (eventStream) {
            readEvents(data);
            return;
        }
        body.writeBytes(data);
        if (body.size() > MAX_ANSWER_BYTES) {
            onFailure(SendFailure.ANSWER_TOO_LARGE);
        }
    }

    private void readEvents(byte[] data) {
        List<EventSplitter.Event> whole = events.feed(data);
        for (EventSplitter.Event event : whole) {
            if (over) {
                return;
            }
            if (!owner.onEvent(this, event)) {
                onFailure(SendFailure.ANSWER_MALFORMED);
                return;
            }
            markFirstOutput();
            expectNextEvent();
        }
        if (events.pendingBytes() > MAX_EVENT_BYTES) {
            onFailure(SendFailure.ANSWER_TOO_LARGE);
        }
    }

    private void markFirstOutput() {
        if (!firstOutput) {
            firstOutput = true;
            ticket.promptRead();
        }
    }

    @Override
    public void onEnd() {
        if (over) {
            return;
        }
        if (eventStream && events.isMidEvent()) {
            onFailure(SendFailure.CONNECTION_LOST);
            return;
        }
        close();
        counted(!eventStream && status >= 500);
        if (eventStream) {
            owner.onStreamEnd(this);
        } else {
            owner.onAnswer(this, new EndpointAnswer(status, headers, body.toByteArray()));
        }
    }

    @Override
    public void onFailure(SendFailure failure) {
        if (!close()) {
            return;
        }
        exchange.cancel();
        ticket.lost();
        services.journal()
                .sendFailed(
                        admitted.facts().requestId(), endpoint, failure.name().toLowerCase(Locale.ROOT));
        if (!failure.mayHaveRun()) {
            owner.onFailed(this, Execution.NOT_RUN);
            return;
        }
        tellVersions(true);
        if (failure == SendFailure.CONNECTION_LOST && !firstOutput) {
            services.crashes().connectionLost(admitted.request(), admitted.accountName(), endpoint);
        }
        owner.onFailed(this, Execution.MAY_HAVE_RUN);
    }

    /** Ends the attempt; returns false if it had already ended. */
    private boolean close() {
        boolean ends = !over;
        over = true;
        silence.cancel();
        return ends;
    }

    private void counted(boolean endpointFailed) {
        ticket.answered(endpointFailed);
        tellVersions(endpointFailed);
    }

    private void tellVersions(boolean endpointFailed) {
        Optional<String> session = admitted.facts().session();
        long elapsedMillis = services.nowMillis().getAsLong() - sentAtMillis;
        services.versions().answered(endpoint, route().name(), session, endpointFailed, elapsedMillis);
    }
}
