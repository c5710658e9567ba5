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
 * One send of a request to one endpoint: reads the answer and tells the request what became of it.
 *
 * <p>Invariant: the request hears of one end at most, and of nothing after it. Not thread-safe.
 */
final class EndpointSend implements ExchangeListener {
    /** Longest answer that is not a stream, in bytes: above the services' bound of a few megabytes. */
    private static final int MAX_ANSWER_BYTES = 16 << 20;
    /** Longest event, in bytes. */
    private static final int MAX_EVENT_BYTES = 1 << 20;
    /** Share of the time left after which a send without output is repeated elsewhere, if its goal is past. */
    private static final double SILENT_SHARE = 0.4;
    /** Pauses of a stream, against its goal for them, after which it goes on elsewhere. */
    private static final int SILENT_GAPS = 4;
    /** Shortest pause that counts as silence, in milliseconds: a caller gives up a stream after two seconds or more. */
    private static final long MIN_SILENT_GAP_MILLIS = 2_000;

    /** The request that is sent. */
    interface Owner {
        /** The head of a success has come; the request may drop the send. */
        void onSuccess(EndpointSend send, AnswerMetadata answer);

        /** A whole event has come. Returns whether it fits those before it. */
        boolean onEvent(EndpointSend send, EventSplitter.Event event);

        /** A whole answer that is not a stream has come. */
        void onAnswer(EndpointSend send, EndpointAnswer answer);

        /** The stream has ended as complete. */
        void onStreamEnd(EndpointSend send);

        /** The answer will not come. */
        void onFailed(EndpointSend send, Execution verdict);

        /** Nothing has come for so long that another endpoint would be quicker. */
        void onSilence(EndpointSend send);

        /** Returns the time left, in milliseconds. */
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

    /** Sends a request and returns the send under way. */
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

    /** Returns the status of the answer's head. */
    int status() {
        return status;
    }

    /** Returns the headers of the answer's head. */
    Headers headers() {
        return headers;
    }

    /** Gives the send up because the request is over, without a word on the endpoint. */
    void abandon() {
        if (close()) {
            ticket.abandoned();
            exchange.cancel();
        }
    }

    /** Gives the send up because another one serves the caller better. */
    void drop(String reason, boolean endpointFailed) {
        if (close()) {
            if (!endpointFailed) {
                ticket.promptRead();
            }
            counted(endpointFailed);
            services.journal().onAttemptFailed(admitted.facts().requestId(), endpoint, reason);
            exchange.cancel();
        }
    }

    private Route route() {
        return admitted.route();
    }

    /** A repeatable request whose endpoint falls silent goes elsewhere: only time shows a channel that is dead. */
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
        AnswerMetadata answer = services.dialect().readAnswer(status, headers);
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
        services.journal().onAttemptFailed(admitted.facts().requestId(), endpoint, reason);
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
                .onAttemptFailed(
                        admitted.facts().requestId(), endpoint, failure.name().toLowerCase(Locale.ROOT));
        if (!failure.mayHaveRun()) {
            owner.onFailed(this, Execution.NOT_RUN);
            return;
        }
        tellVersions(true);
        if (failure == SendFailure.CONNECTION_LOST && !firstOutput) {
            services.crashes().onConnectionLost(admitted.request(), admitted.accountName(), endpoint);
        }
        owner.onFailed(this, Execution.MAY_HAVE_RUN);
    }

    /** Ends the send; returns false if it had ended before. */
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
        services.versions().recordOutcome(endpoint, route().name(), session, endpointFailed, elapsedMillis);
    }
}
