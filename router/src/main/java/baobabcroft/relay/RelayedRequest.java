package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.common.ErrorCode;
import baobabcroft.common.Execution;
import baobabcroft.common.Scheduler;
import baobabcroft.directory.EndpointEntry;
import baobabcroft.retry.RequestAttempts;
import baobabcroft.retry.RetryBudget;
import baobabcroft.retry.RetryDecision;
import baobabcroft.retry.RetryDecision.Stop;
import baobabcroft.retry.RetryDecision.StopReason;
import baobabcroft.retry.RetryPolicy;
import baobabcroft.routing.AccountProfile;
import baobabcroft.routing.RoutingTable;
import baobabcroft.routing.ServiceProfile;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Sets;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/**
 * One caller attempt from its arrival to its final answer.
 *
 * <p>Invariants: the caller receives exactly one whole answer or one stream; a request that may not be repeated is sent
 * again only after an endpoint has said, or the transport has proved, that it did not run; an answer that promises "not
 * run" is given only then. Not thread-safe.
 */
public final class RelayedRequest implements EndpointSend.Owner {
    /** Time left under which a send is no use, in milliseconds: a round trip between regions does not fit. */
    private static final long MIN_SEND_MILLIS = 20;
    /** Sends beyond the route's bound on endpoints that may be spent on endpoints that did not run the request. */
    private static final int MAX_EXTRA_SENDS = 3;
    /** When to come back after no endpoint could take a request, in milliseconds. */
    private static final long FULL_RETRY_MILLIS = 400;
    /**
     * Of the goal's rest, the expected time that a larger model may take. More than all of it: engines read parts of
     * several prompts at a time, which the expectation counts one after the other.
     */
    private static final double GOAL_SHARE = 1.5;
    /** Of the goal's rest, the time that a larger model may take at an idle engine: late answers still have worth. */
    private static final double IDLE_GOAL_SHARE = 2.5;
    /** Of the goal's rest, the wait up to which an engine counts as idle. */
    private static final double IDLE_WAIT_SHARE = 0.15;
    /** Longest wait for the first configuration, in milliseconds: an eighth of the goals of a few seconds. */
    private static final long CONFIG_WAIT_MILLIS = 250;

    private static final long CONFIG_POLL_MILLIS = 25;
    /** When to come back to an instance that has no configuration yet, in milliseconds. */
    private static final long STALE_RETRY_MILLIS = 1_000;

    private final RelayServices services;
    private final CallerRequest request;
    private final CallerExchange caller;
    private final long arrivedAtMillis;
    private Admission.Admitted admitted;
    private RequestAttempts sends = RequestAttempts.create(false, MAX_EXTRA_SENDS);
    private RetryPolicy retryPolicy;
    private CallerStream stream;
    private String requestId = "";
    private String service = "";
    private Optional<String> model = Optional.empty();
    private Optional<EndpointSend> current = Optional.empty();
    private Optional<EndpointAnswer> heldAnswer = Optional.empty();
    private Optional<StopReason> stopReason = Optional.empty();
    private long deadlineAtMillis;
    private boolean delivered;
    private boolean done;
    private Scheduler.Cancellable deadline = () -> {};

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
    public void onCallerDisconnected() {
        if (!done) {
            abandon();
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

    @Override
    public long remainingMillis() {
        return deadlineAtMillis - services.nowMillis().getAsLong();
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
            requestId = refused.requestId();
            refuse(refused.refusal());
        } else if (result instanceof Admission.Admitted allowed) {
            admit(allowed);
        }
    }

    /** An instance that has just started reads its configuration within a moment; a refusal would cost more. */
    private void awaitConfiguration() {
        if (services.nowMillis().getAsLong() - arrivedAtMillis < CONFIG_WAIT_MILLIS) {
            services.scheduler().schedule(CONFIG_POLL_MILLIS, this::begin);
        } else {
            refuse(Refusal.retryAfter(ErrorCode.CONFIG_STALE, STALE_RETRY_MILLIS));
        }
    }

    private void admit(Admission.Admitted allowed) {
        admitted = allowed;
        CallerMetadata facts = allowed.facts();
        requestId = facts.requestId();
        deadlineAtMillis = arrivedAtMillis + allowed.waitMillis();
        deadline = services.scheduler().schedule(allowed.waitMillis(), this::onDeadline);
        sends = RequestAttempts.create(allowed.route().isRepeatable(), MAX_EXTRA_SENDS);
        retryPolicy = RetryPolicy.immediate(allowed.route().maxEndpoints());
        stream = new CallerStream(caller, facts.resumeAfter());
        service = allowed.route().pickService(services.random().nextDouble());
        model = facts.routerChoosesModel()
                ? services.models().first(allowed.route(), facts.prompt())
                : Optional.empty();
        budget().requestStarted();
        if (remainingMillis() < MIN_SEND_MILLIS) {
            giveUp(StopReason.DEADLINE);
            return;
        }
        choose(model, sends.triedEndpoints()).ifPresentOrElse(this::sendTo, () -> giveUp(StopReason.NO_ENDPOINT));
    }

    private RetryBudget budget() {
        return services.budgets().apply(service);
    }

    private Optional<EndpointChooser.Choice> choose(Optional<String> wantedModel, Set<String> excluded) {
        CallerMetadata facts = admitted.facts();
        ImmutableList<EndpointEntry> open = services.versions()
                .selectEndpoints(service, services.directory().accepting(service), facts.session(), facts.requestId());
        return services.chooser().choose(open, excluded, admitted.profile(service), wantedModel, facts.prompt());
    }

    /** Returns what is to follow if the open send ends with a verdict; a repeated send is paid for by this. */
    private RetryDecision decide(Execution verdict) {
        return retryPolicy.decide(
                sends.retryContext(verdict, remainingMillis(), MIN_SEND_MILLIS), budget(), services.random());
    }

    private void sendAgainOrGiveUp() {
        Optional<EndpointChooser.Choice> next = choose(model, sends.triedEndpoints());
        if (next.isEmpty()) {
            giveUp(StopReason.NO_ENDPOINT);
        } else if (decide(Execution.NOT_RUN) instanceof Stop stop) {
            giveUp(stop.reason());
        } else {
            sendTo(next.get());
        }
    }

    private void sendTo(EndpointChooser.Choice choice) {
        EndpointEntry endpoint = choice.endpoint();
        EndpointLoads.State state = services.loads().of(endpoint);
        CallerMetadata facts = admitted.facts();
        ForwardingContext order = new ForwardingContext(
                endpoint.id(),
                admitted.account().map(AccountProfile::name),
                remainingMillis(),
                model,
                admitted.rank() + state.sizeRank(model, facts.prompt()),
                stream.lastEvent());
        EndpointRequest outgoing = new EndpointRequest(
                facts.requestId(),
                admitted.route().isRepeatable(),
                request.method(),
                request.target(),
                services.dialect().toEndpoint(request, order),
                request.body());
        sends.attemptStarted(endpoint.id());
        services.journal()
                .onAttemptStarted(facts.requestId(), new AttemptInfo(choice, model, sends.count(), stream.lastEvent()));
        long cacheTokens =
                admitted.profile(service).map(ServiceProfile::cacheTokens).orElse(0L);
        EndpointLoads.Ticket ticket = state.begin(model, facts.prompt(), cacheTokens);
        current = Optional.of(EndpointSend.start(services, admitted, endpoint, ticket, outgoing, this));
    }

    /** Drops a smaller model's answer in favour of a larger one's while the caller has received none of it. */
    @Override
    public void onSuccess(EndpointSend send, AnswerMetadata answer) {
        if (stream.hasStarted() || model.isEmpty()) {
            return;
        }
        Optional<String> larger = services.models()
                .instead(admitted.route(), admitted.facts().prompt(), model.get(), answer.confidencePercent());
        if (larger.isEmpty()) {
            return;
        }
        Set<String> othersTried =
                Sets.difference(sends.triedEndpoints(), Set.of(send.endpoint().id()));
        Optional<EndpointChooser.Choice> choice = choose(larger, othersTried).filter(this::isWorthAsking);
        if (choice.isEmpty() || decide(Execution.MAY_HAVE_RUN) instanceof Stop) {
            return;
        }
        send.drop("asked_larger_model", false);
        sends.attemptEnded(Execution.MAY_HAVE_RUN);
        sends.allowAgain(send.endpoint().id());
        model = larger;
        sendTo(choice.get());
    }

    /**
     * Returns whether a larger model is worth asking: its answer would begin within the goal, or an engine is idle and
     * would be late only because the prompt is long. A late one at a busy engine would hold up others.
     */
    private boolean isWorthAsking(EndpointChooser.Choice choice) {
        long goalLeftMillis = arrivedAtMillis
                + admitted.route().goalMillis()
                - services.nowMillis().getAsLong();
        return choice.firstOutputMillis() < GOAL_SHARE * goalLeftMillis
                || (choice.firstOutputMillis() < IDLE_GOAL_SHARE * goalLeftMillis
                        && choice.waitMillis() < IDLE_WAIT_SHARE * goalLeftMillis);
    }

    @Override
    public boolean onEvent(EndpointSend send, EventSplitter.Event event) {
        CallerStream.Order order = stream.orderOf(event);
        if (order == CallerStream.Order.NEXT) {
            stream.start(send.status(), services.dialect().toCaller(send.headers()));
            stream.send(event);
        }
        return order != CallerStream.Order.GAP;
    }

    @Override
    public void onStreamEnd(EndpointSend send) {
        sends.attemptEnded(Execution.RAN);
        stream.start(send.status(), services.dialect().toCaller(send.headers()));
        caller.endStream();
        finish("answered", send.status());
    }

    @Override
    public void onAnswer(EndpointSend send, EndpointAnswer answer) {
        boolean again =
                stream.hasStarted() || (answer.isFailure() && admitted.route().isRepeatable());
        if (!again) {
            sends.attemptEnded(Execution.RAN);
            deliver(answer);
            return;
        }
        sends.attemptEnded(Execution.MAY_HAVE_RUN);
        services.journal().onAttemptFailed(admitted.facts().requestId(), send.endpoint(), "failed_by_endpoint");
        heldAnswer = stream.hasStarted() ? Optional.empty() : Optional.of(answer);
        sendAgainOrGiveUp();
    }

    @Override
    public void onFailed(EndpointSend send, Execution verdict) {
        sends.attemptEnded(verdict);
        sendAgainOrGiveUp();
    }

    /** Goes elsewhere if somebody else can take the request; waits on if not. */
    @Override
    public void onSilence(EndpointSend send) {
        Optional<EndpointChooser.Choice> next = choose(model, sends.triedEndpoints());
        if (next.isEmpty() || decide(Execution.MAY_HAVE_RUN) instanceof Stop) {
            return;
        }
        send.drop("silent", true);
        sends.attemptEnded(Execution.MAY_HAVE_RUN);
        sendTo(next.get());
    }

    private void onDeadline() {
        if (done) {
            return;
        }
        abandon();
        stopReason = Optional.of(StopReason.DEADLINE);
        if (stream.hasStarted()) {
            caller.abort();
            finish("deadline_in_stream", 0);
        } else if (heldAnswer.isPresent()) {
            deliver(heldAnswer.get());
        } else if (sends.execution() == Execution.NOT_RUN) {
            refuse(Refusal.retryAfter(ErrorCode.DEADLINE_UNREACHABLE, spread(FULL_RETRY_MILLIS)));
        } else {
            refuse(Refusal.mayHaveRun(ErrorCode.DEADLINE_EXCEEDED));
        }
    }

    private void abandon() {
        current.ifPresent(EndpointSend::abandon);
    }

    private void giveUp(StopReason reason) {
        stopReason = Optional.of(reason);
        if (stream.hasStarted()) {
            caller.abort();
            finish("stream_lost", 0);
        } else if (heldAnswer.isPresent()) {
            deliver(heldAnswer.get());
        } else if (sends.execution() == Execution.NOT_RUN) {
            refuse(Refusal.retryAfter(ErrorCode.POOL_EXHAUSTED, spread(FULL_RETRY_MILLIS)));
        } else {
            refuse(Refusal.mayHaveRun(ErrorCode.ENDPOINT_FAILED));
        }
    }

    /** Returns a time around the given one, so that callers that are refused together do not come back together. */
    private long spread(long millis) {
        return (long) (millis * (0.6 + 0.8 * services.random().nextDouble()));
    }

    private void deliver(EndpointAnswer answer) {
        delivered = true;
        caller.answer(answer.status(), services.dialect().toCaller(answer.headers()), answer.body());
        finish(answer.isFailure() ? "endpoint_failed" : "answered", answer.status());
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
                .onFinished(new RelaySummary(
                        requestId,
                        known.map(request -> request.route().name()),
                        known.flatMap(Admission.Admitted::account).map(AccountProfile::name),
                        outcome,
                        stopReason.map(reason -> reason.name().toLowerCase(Locale.ROOT)),
                        status,
                        delivered ? Execution.RAN : sends.execution(),
                        sends.count(),
                        services.nowMillis().getAsLong() - arrivedAtMillis,
                        known.map(request -> request.table().version()).orElse(0L)));
    }
}
