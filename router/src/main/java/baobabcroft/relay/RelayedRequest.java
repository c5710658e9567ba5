package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.common.ErrorCode;
import baobabcroft.common.Execution;
import baobabcroft.common.Scheduler;
import baobabcroft.directory.EndpointEntry;
import baobabcroft.routing.AccountProfile;
import baobabcroft.routing.RouteKind;
import baobabcroft.routing.RoutingTable;
import baobabcroft.routing.ServiceProfile;
import com.google.common.collect.ImmutableList;
import java.io.ByteArrayOutputStream;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * One caller attempt from its arrival to its final answer.
 *
 * <p>Invariants: the caller receives exactly one whole answer or one stream; a request that may not be repeated is sent
 * again only after an endpoint has said, or the transport has proved, that it did not run; an answer that promises "not
 * run" is given only then. Not thread-safe.
 */
public final class RelayedRequest {
    /** Longest answer that is not a stream, in bytes: the store's and the services' bound of a few megabytes. */
    private static final int MAX_ANSWER_BYTES = 16 << 20;
    /** Longest event, in bytes. */
    private static final int MAX_EVENT_BYTES = 1 << 20;
    /** Time left under which a send is no use, in milliseconds: a round trip between regions does not fit. */
    private static final long MIN_SEND_MILLIS = 20;
    /** Sends beyond the route's bound on endpoints that may be spent on endpoints that did not run the request. */
    private static final int MAX_EXTRA_SENDS = 3;
    /** When to come back after no endpoint could take a request, in milliseconds. */
    private static final long FULL_RETRY_MILLIS = 400;
    /** Of the goal's rest, the time that a larger model may take at an idle engine: late answers still have worth. */
    private static final double IDLE_GOAL_SHARE = 2.5;
    /** Of the goal's rest, the wait up to which an engine counts as idle. */
    private static final double IDLE_WAIT_SHARE = 0.15;
    /** Share of the time left after which a send without output is repeated elsewhere, if its goal is past. */
    private static final double SILENT_SHARE = 0.4;
    /** Pauses of a stream, against its goal for them, after which it goes on elsewhere. */
    private static final int SILENT_GAPS = 4;
    /** Shortest pause that counts as silence, in milliseconds: a caller gives up a stream after two seconds or more. */
    private static final long MIN_SILENT_GAP_MILLIS = 2_000;
    /** Longest wait for the first configuration, in milliseconds: an eighth of the goals of a few seconds. */
    private static final long CONFIG_WAIT_MILLIS = 250;

    private static final long CONFIG_POLL_MILLIS = 25;
    /** When to come back to an instance that has no configuration yet, in milliseconds. */
    private static final long STALE_RETRY_MILLIS = 1_000;

    private final RelayServices services;
    private final CallerRequest request;
    private final CallerExchange caller;
    private final long arrivedAtMillis;
    private final Set<String> used = new HashSet<>();
    private Optional<String> model = Optional.empty();
    private Optional<HeldAnswer> heldAnswer = Optional.empty();
    private Optional<Attempt> attempt = Optional.empty();
    private Admission.Admitted admitted;
    private String service = "";
    private Execution execution = Execution.NOT_RUN;
    private OptionalLong lastEvent = OptionalLong.empty();
    private long deadlineAtMillis;
    private int sends;
    private int runs;
    private boolean streaming;
    private boolean budgetTaken;
    private boolean done;
    private Scheduler.Cancellable deadline = () -> {};

    /** An endpoint's own failure, which is delivered unchanged if nothing better comes. */
    @SuppressWarnings("ArrayRecordComponent")
    private record HeldAnswer(int status, Headers headers, byte[] body) {}

    private RelayedRequest(RelayServices services, CallerRequest request, CallerExchange caller) {
        this.services = services;
        this.request = request;
        this.caller = caller;
        this.arrivedAtMillis = services.nowMillis().getAsLong();
    }

    /**
     * Starts to serve a request.
     *
     * @param services what requests share
     * @param request the request, read whole
     * @param caller receives the answer; may be called before this method returns
     * @return the request under way
     */
    public static RelayedRequest start(RelayServices services, CallerRequest request, CallerExchange caller) {
        RelayedRequest relayed =
                new RelayedRequest(checkNotNull(services), checkNotNull(request), checkNotNull(caller));
        relayed.begin();
        return relayed;
    }

    /** The caller has closed its connection: the endpoint's work is cancelled. */
    public void callerGone() {
        if (!done) {
            attempt.ifPresent(Attempt::abandon);
            finish("caller_gone", 0);
        }
    }

    /**
     * Returns whether the request has its final answer.
     *
     * @return true from then on
     */
    public boolean isDone() {
        return done;
    }

    private void begin() {
        if (done) {
            return;
        }
        Optional<RoutingTable> table = services.routing().current();
        if (table.isEmpty()) {
            awaitConfiguration();
            return;
        }
        Admission.Result result = Admission.decide(services, table.get(), request);
        if (result instanceof Admission.Refused refused) {
            refuse(refused.refusal());
        } else if (result instanceof Admission.Admitted allowed) {
            admitted = allowed;
            admit();
        }
    }

    /** An instance that has just started reads its configuration within a moment; a refusal would cost more. */
    private void awaitConfiguration() {
        if (services.nowMillis().getAsLong() - arrivedAtMillis < CONFIG_WAIT_MILLIS) {
            services.scheduler().schedule(CONFIG_POLL_MILLIS, this::begin);
        } else {
            refuse(Refusal.comeBack(ErrorCode.CONFIG_STALE, STALE_RETRY_MILLIS));
        }
    }

    private void admit() {
        CallerFacts facts = admitted.facts();
        deadlineAtMillis = arrivedAtMillis + admitted.waitMillis();
        deadline = services.scheduler().schedule(admitted.waitMillis(), this::onDeadline);
        service = admitted.route().pickService(services.random().nextDouble());
        model = facts.modelLeftOpen() ? services.models().first(admitted.route(), facts.prompt()) : Optional.empty();
        lastEvent = facts.resumeAfter();
        services.budgets().apply(service).requestStarted();
        sendOrGiveUp();
    }

    private void sendOrGiveUp() {
        if (done) {
            return;
        }
        if (remainingMillis() < MIN_SEND_MILLIS || !maySendAgain()) {
            giveUp();
            return;
        }
        Optional<ServiceProfile> profile = admitted.profile(service);
        Optional<EndpointEntry> chosen = choose(model).map(EndpointChooser.Choice::endpoint);
        if (chosen.isEmpty() || !isPaidFor()) {
            giveUp();
            return;
        }
        send(chosen.get(), profile.map(ServiceProfile::cacheTokens).orElse(0L));
    }

    private Optional<EndpointChooser.Choice> choose(Optional<String> wantedModel) {
        ImmutableList<EndpointEntry> open = services.versions()
                .allowed(
                        service,
                        services.directory().open(service),
                        admitted.facts().session(),
                        admitted.facts().requestId());
        Optional<ServiceProfile> profile = admitted.profile(service);
        return services.chooser()
                .choose(open, used, profile, wantedModel, admitted.facts().prompt());
    }

    private boolean isPaidFor() {
        boolean paid =
                sends == 0 || budgetTaken || services.budgets().apply(service).tryTake();
        budgetTaken = false;
        return paid;
    }

    private boolean maySendAgain() {
        return runs < admitted.route().maxEndpoints()
                && sends < admitted.route().maxEndpoints() + MAX_EXTRA_SENDS;
    }

    private void send(EndpointEntry endpoint, long cacheTokens) {
        used.add(endpoint.id());
        sends++;
        SendOrder order = new SendOrder(
                endpoint.id(),
                admitted.account().map(AccountProfile::name),
                remainingMillis(),
                model,
                admitted.rank()
                        + services.loads()
                                .of(endpoint)
                                .sizeRank(model, admitted.facts().prompt()),
                lastEvent);
        Headers headers = services.dialect().toEndpoint(request, order);
        EndpointRequest outgoing = new EndpointRequest(
                admitted.facts().requestId(),
                admitted.route().isRepeatable(),
                request.method(),
                request.target(),
                headers,
                request.body());
        services.journal().sent(admitted.facts().requestId(), endpoint, model, sends);
        EndpointLoads.Ticket ticket =
                services.loads().of(endpoint).begin(model, admitted.facts().prompt(), cacheTokens);
        Attempt next = new Attempt(endpoint, ticket);
        attempt = Optional.of(next);
        next.exchange = services.transport().send(endpoint, outgoing, next);
        next.expectOutput();
    }

    private void onDeadline() {
        if (done) {
            return;
        }
        attempt.ifPresent(Attempt::abandon);
        if (streaming) {
            caller.breakOff();
            finish("deadline_in_stream", 0);
        } else if (execution == Execution.NOT_RUN) {
            refuse(Refusal.comeBack(ErrorCode.DEADLINE_UNREACHABLE, FULL_RETRY_MILLIS));
        } else {
            refuse(Refusal.mayHaveRun(ErrorCode.DEADLINE_EXCEEDED));
        }
    }

    private void giveUp() {
        if (streaming) {
            caller.breakOff();
            finish("stream_lost", 0);
        } else if (heldAnswer.isPresent()) {
            deliver(heldAnswer.get(), "endpoint_failed");
        } else if (execution == Execution.NOT_RUN) {
            refuse(Refusal.comeBack(ErrorCode.POOL_EXHAUSTED, spread(FULL_RETRY_MILLIS)));
        } else {
            refuse(Refusal.mayHaveRun(ErrorCode.ENDPOINT_FAILED));
        }
    }

    /** Returns a time around the given one, so that callers that are refused together do not come back together. */
    private long spread(long millis) {
        return (long) (millis * (0.6 + 0.8 * services.random().nextDouble()));
    }

    private void deliver(HeldAnswer answer, String outcome) {
        caller.answer(answer.status(), services.dialect().toCaller(answer.headers()), answer.body());
        finish(outcome, answer.status());
    }

    private void refuse(Refusal refusal) {
        int status = services.dialect().statusOf(refusal);
        caller.answer(status, services.dialect().headersOf(refusal), new byte[0]);
        finish(refusal.code().code(), status);
    }

    private void finish(String outcome, int status) {
        done = true;
        deadline.cancel();
        Optional<Admission.Admitted> known = Optional.ofNullable(admitted);
        services.journal()
                .finished(new RelaySummary(
                        known.map(request -> request.facts().requestId()).orElse(""),
                        known.map(request -> request.route().name()),
                        known.flatMap(Admission.Admitted::account).map(AccountProfile::name),
                        outcome,
                        status,
                        execution,
                        sends,
                        services.nowMillis().getAsLong() - arrivedAtMillis,
                        known.map(request -> request.table().version()).orElse(0L)));
    }

    private long remainingMillis() {
        return deadlineAtMillis - services.nowMillis().getAsLong();
    }

    /** One send to one endpoint. */
    private final class Attempt implements ExchangeListener {
        private final EndpointEntry endpoint;
        private final EndpointLoads.Ticket ticket;
        private final long sentAtMillis = services.nowMillis().getAsLong();
        private final EventSplitter events = new EventSplitter();
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private EndpointTransport.Exchange exchange = () -> {};
        private int status;
        private Headers headers = Headers.EMPTY;
        private boolean eventStream;
        private boolean firstOutput;
        private boolean closed;
        private Scheduler.Cancellable silence = () -> {};

        private Attempt(EndpointEntry endpoint, EndpointLoads.Ticket ticket) {
            this.endpoint = endpoint;
            this.ticket = ticket;
        }

        /** A repeatable request whose endpoint falls silent goes elsewhere: only time shows a channel that is dead. */
        private void expectOutput() {
            if (admitted.route().isRepeatable() && !closed) {
                long waitMillis =
                        Math.max(admitted.route().goalMillis(), (long) (SILENT_SHARE * Math.max(0, remainingMillis())));
                silence = services.scheduler().schedule(waitMillis, this::silent);
            }
        }

        private void expectNextEvent() {
            silence.cancel();
            if (admitted.route().isRepeatable()) {
                long waitMillis = Math.max(
                        MIN_SILENT_GAP_MILLIS, SILENT_GAPS * admitted.route().maxGapMillis());
                silence = services.scheduler().schedule(waitMillis, this::silent);
            }
        }

        private void silent() {
            if (closed
                    || runs + 1 >= admitted.route().maxEndpoints()
                    || choose(model).isEmpty()) {
                return;
            }
            close();
            execution = Execution.MAY_HAVE_RUN;
            runs++;
            ticket.answered(true);
            services.versions()
                    .answered(
                            endpoint, admitted.route().name(), admitted.facts().session(), true, elapsed());
            services.journal().sendFailed(admitted.facts().requestId(), endpoint, "silent");
            exchange.cancel();
            sendOrGiveUp();
        }

        private void close() {
            closed = true;
            silence.cancel();
        }

        private void abandon() {
            if (!closed) {
                close();
                execution = Execution.MAY_HAVE_RUN;
                ticket.abandoned();
                exchange.cancel();
            }
        }

        @Override
        public void onHead(int newStatus, Headers newHeaders) {
            if (closed) {
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
                failed(SendFailure.ANSWER_MALFORMED);
                return;
            }
            eventStream = success && admitted.route().kind() == RouteKind.STREAMING;
            if (success) {
                askLargerModel(answer);
            }
        }

        /** Drops the answer in favour of a larger model's while the caller has received none of it. */
        private void askLargerModel(AnswerFacts answer) {
            if (streaming || model.isEmpty() || runs + 1 >= admitted.route().maxEndpoints()) {
                return;
            }
            Optional<String> larger = services.models()
                    .instead(admitted.route(), admitted.facts().prompt(), model.get(), answer.confidencePercent());
            if (larger.isEmpty()
                    || !isInTime(larger)
                    || !services.budgets().apply(service).tryTake()) {
                return;
            }
            close();
            execution = Execution.MAY_HAVE_RUN;
            runs++;
            ticket.promptRead();
            ticket.answered(false);
            services.versions()
                    .answered(
                            endpoint, admitted.route().name(), admitted.facts().session(), false, elapsed());
            services.journal().sendFailed(admitted.facts().requestId(), endpoint, "asked_larger_model");
            exchange.cancel();
            model = larger;
            used.remove(endpoint.id());
            budgetTaken = true;
            sendOrGiveUp();
        }

        @Override
        public void onData(byte[] data) {
            if (closed) {
                return;
            }
            if (eventStream) {
                List<EventSplitter.Event> whole = events.feed(data);
                whole.forEach(this::onEvent);
                if (events.pendingBytes() > MAX_EVENT_BYTES) {
                    failed(SendFailure.ANSWER_TOO_LARGE);
                }
                return;
            }
            body.writeBytes(data);
            if (body.size() > MAX_ANSWER_BYTES) {
                failed(SendFailure.ANSWER_TOO_LARGE);
            }
        }

        private void onEvent(EventSplitter.Event event) {
            if (closed) {
                return;
            }
            if (event.id().isPresent()) {
                long expected = lastEvent.orElse(0) + 1;
                long id = event.id().getAsLong();
                if (id > expected && streamHasBegun()) {
                    failed(SendFailure.ANSWER_MALFORMED);
                    return;
                }
                if (id < expected && streamHasBegun()) {
                    return;
                }
                lastEvent = event.id();
            }
            markFirstOutput();
            expectNextEvent();
            if (!streaming) {
                streaming = true;
                caller.startStream(status, services.dialect().toCaller(headers));
            }
            caller.streamData(event.bytes());
        }

        private boolean streamHasBegun() {
            return lastEvent.isPresent();
        }

        private void markFirstOutput() {
            if (!firstOutput) {
                firstOutput = true;
                ticket.promptRead();
            }
        }

        @Override
        public void onEnd() {
            if (closed) {
                return;
            }
            if (eventStream) {
                endStream();
                return;
            }
            close();
            execution = Execution.RAN;
            runs++;
            boolean endpointFailed = status >= 500;
            ticket.answered(endpointFailed);
            services.versions()
                    .answered(
                            endpoint, admitted.route().name(), admitted.facts().session(), endpointFailed, elapsed());
            HeldAnswer answer = new HeldAnswer(status, headers, body.toByteArray());
            if (streaming) {
                services.journal().sendFailed(admitted.facts().requestId(), endpoint, "failed_by_endpoint");
                sendOrGiveUp();
            } else if (endpointFailed && admitted.route().isRepeatable()) {
                heldAnswer = Optional.of(answer);
                services.journal().sendFailed(admitted.facts().requestId(), endpoint, "failed_by_endpoint");
                sendOrGiveUp();
            } else {
                deliver(answer, endpointFailed ? "endpoint_failed" : "answered");
            }
        }

        private void endStream() {
            if (events.isMidEvent()) {
                failed(SendFailure.CONNECTION_LOST);
                return;
            }
            close();
            execution = Execution.RAN;
            ticket.answered(false);
            services.versions()
                    .answered(
                            endpoint, admitted.route().name(), admitted.facts().session(), false, elapsed());
            if (!streaming) {
                caller.startStream(status, services.dialect().toCaller(headers));
            }
            caller.endStream();
            finish("answered", status);
        }

        /**
         * Returns whether a larger model is worth asking: its answer would begin within the goal, or an engine is idle
         * and would be late only because the prompt is long. A late one at a busy engine would hold up others.
         */
        private boolean isInTime(Optional<String> larger) {
            long goalLeftMillis = arrivedAtMillis
                    + admitted.route().goalMillis()
                    - services.nowMillis().getAsLong();
            return choose(larger)
                    .filter(choice -> choice.firstOutputMillis() < goalLeftMillis
                            || (choice.firstOutputMillis() < IDLE_GOAL_SHARE * goalLeftMillis
                                    && choice.waitMillis() < IDLE_WAIT_SHARE * goalLeftMillis))
                    .isPresent();
        }

        private long elapsed() {
            return services.nowMillis().getAsLong() - sentAtMillis;
        }

        private void notRun(String reason) {
            close();
            ticket.rejected();
            services.journal().sendFailed(admitted.facts().requestId(), endpoint, reason);
            exchange.cancel();
            sendOrGiveUp();
        }

        private void failed(SendFailure failure) {
            exchange.cancel();
            onFailure(failure);
        }

        @Override
        public void onFailure(SendFailure failure) {
            if (closed) {
                return;
            }
            close();
            ticket.lost();
            services.journal()
                    .sendFailed(
                            admitted.facts().requestId(),
                            endpoint,
                            failure.name().toLowerCase(java.util.Locale.ROOT));
            if (!failure.mayHaveRun()) {
                sendOrGiveUp();
                return;
            }
            execution = Execution.MAY_HAVE_RUN;
            runs++;
            services.versions()
                    .answered(
                            endpoint, admitted.route().name(), admitted.facts().session(), true, elapsed());
            if (failure == SendFailure.CONNECTION_LOST && !firstOutput) {
                services.crashes().connectionLost(request, admitted.accountName(), endpoint);
            }
            if (admitted.route().isRepeatable()) {
                sendOrGiveUp();
            } else {
                giveUp();
            }
        }
    }
}
