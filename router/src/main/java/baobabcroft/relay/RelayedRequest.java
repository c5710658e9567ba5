package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.common.ErrorCode;
import baobabcroft.common.Execution;
import baobabcroft.common.Scheduler;
import baobabcroft.directory.EndpointEntry;
import baobabcroft.retry.RequestSends;
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
 * One request of a caller, from its arrival to its final answer.
 *
 * <p>Invariants: the caller receives exactly one complete answer or one stream; a request that is not repeatable is sent
 * again only if the endpoint has stated, or the transport has shown, that it did not run; an answer that states "not
 * run" is given only if the same holds for all attempts. Not thread-safe.
 */
public final class RelayedRequest implements EndpointSend.Owner {
    /** Minimum remaining time for an attempt, in milliseconds: less does not allow a round trip between regions. */
    private static final long MIN_SEND_MILLIS = 20;
    /** Attempts that are not counted against the route's maximum as long as the request has not run. */
    private static final int MAX_EXTRA_SENDS = 3;
    /** Mean retry delay given to callers when no endpoint could run the request, in milliseconds. */
    private static final long FULL_RETRY_MILLIS = 400;
    /**
     * Maximum expected time to first output of a larger model, as a multiple of the time left until the goal. Above 1
     * because engines interleave the prefill of several prompts, whereas the expectation adds up their times.
     */
    private static final double GOAL_SHARE = 1.5;
    /** The same multiple for an idle engine. Larger, as an answer after the goal still has value. */
    private static final double IDLE_GOAL_SHARE = 2.5;
    /** Maximum wait caused by other requests for an idle engine, as a multiple of the time left until the goal. */
    private static final double IDLE_WAIT_SHARE = 0.15;
    /** Maximum wait for the first configuration, in milliseconds: an eighth of goals of a few seconds. */
    private static final long CONFIG_WAIT_MILLIS = 250;

    private static final long CONFIG_POLL_MILLIS = 25;
    /** Retry delay given to callers while the instance has no configuration, in milliseconds. */
    private static final long STALE_RETRY_MILLIS = 1_000;

    private final RelayServices services;
    private final CallerRequest request;
    private final CallerExchange caller;
    private final long arrivedAtMillis;
    private Admission.Admitted admitted;
    private RequestSends sends = RequestSends.create(false, MAX_EXTRA_SENDS);
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
     * Starts serving a request.
     *
     * @param services the services that all requests share
     * @param request the complete request
     * @param caller receives the answer; may be called before this method returns
     * @return the request in progress, or already done
     */
    public static RelayedRequest start(RelayServices services, CallerRequest request, CallerExchange caller) {
        RelayedRequest relayed =
                new RelayedRequest(checkNotNull(services), checkNotNull(request), checkNotNull(caller));
        relayed.begin();
        return relayed;
    }

    /** Cancels the request because the caller has closed its connection. Has no effect after the end. */
    public void callerGone() {
        if (!done) {
            abandon();
            finish("caller_gone", 0);
        }
    }

    /**
     * Returns whether the request has ended.
     *
     * @return true once the final answer was sent, the stream was cut off or the caller left
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

    /**
     * Retries admission shortly. An instance that has just started is about to read its configuration, and a short wait
     * costs the caller less than a refusal.
     */
    private void awaitConfiguration() {
        if (services.nowMillis().getAsLong() - arrivedAtMillis < CONFIG_WAIT_MILLIS) {
            services.scheduler().schedule(CONFIG_POLL_MILLIS, this::begin);
        } else {
            refuse(Refusal.comeBack(ErrorCode.CONFIG_STALE, STALE_RETRY_MILLIS));
        }
    }

    private void admit(Admission.Admitted allowed) {
        admitted = allowed;
        CallerFacts facts = allowed.facts();
        requestId = facts.requestId();
        deadlineAtMillis = arrivedAtMillis + allowed.waitMillis();
        deadline = services.scheduler().schedule(allowed.waitMillis(), this::onDeadline);
        sends = RequestSends.create(allowed.route().isRepeatable(), MAX_EXTRA_SENDS);
        retryPolicy = RetryPolicy.immediate(allowed.route().maxEndpoints());
        stream = new CallerStream(caller, facts.resumeAfter());
        service = allowed.route().pickService(services.random().nextDouble());
        model = facts.modelLeftOpen() ? services.models().first(allowed.route(), facts.prompt()) : Optional.empty();
        budget().requestStarted();
        if (remainingMillis() < MIN_SEND_MILLIS) {
            giveUp(StopReason.DEADLINE);
            return;
        }
        choose(model, sends.tried()).ifPresentOrElse(this::sendTo, () -> giveUp(StopReason.NO_ENDPOINT));
    }

    private RetryBudget budget() {
        return services.budgets().apply(service);
    }

    private Optional<EndpointChooser.Choice> choose(Optional<String> wantedModel, Set<String> excluded) {
        CallerFacts facts = admitted.facts();
        ImmutableList<EndpointEntry> open = services.versions()
                .allowed(service, services.directory().open(service), facts.session(), facts.requestId());
        return services.chooser().choose(open, excluded, admitted.profile(service), wantedModel, facts.prompt());
    }

    /** Returns whether to retry if the open attempt ends as given. A retry is taken from the budget. */
    private RetryDecision decide(Execution verdict) {
        return retryPolicy.decide(
                sends.factsAfter(verdict, remainingMillis(), MIN_SEND_MILLIS), budget(), services.random());
    }

    private void sendAgainOrGiveUp() {
        Optional<EndpointChooser.Choice> next = choose(model, sends.tried());
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
        CallerFacts facts = admitted.facts();
        SendOrder order = new SendOrder(
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
        sends.sent(endpoint.id());
        services.journal().sent(facts.requestId(), new SendNote(choice, model, sends.count(), stream.lastEvent()));
        long cacheTokens =
                admitted.profile(service).map(ServiceProfile::cacheTokens).orElse(0L);
        EndpointLoads.Ticket ticket = state.begin(model, facts.prompt(), cacheTokens);
        current = Optional.of(EndpointSend.start(services, admitted, endpoint, ticket, outgoing, this));
    }

    /** Escalates from a smaller model to a larger one if the caller has not received anything yet. */
    @Override
    public void onSuccess(EndpointSend send, AnswerFacts answer) {
        if (stream.hasStarted() || model.isEmpty()) {
            return;
        }
        Optional<String> larger = services.models()
                .instead(admitted.route(), admitted.facts().prompt(), model.get(), answer.confidencePercent());
        if (larger.isEmpty()) {
            return;
        }
        Set<String> othersTried =
                Sets.difference(sends.tried(), Set.of(send.endpoint().id()));
        Optional<EndpointChooser.Choice> choice = choose(larger, othersTried).filter(this::isWorthAsking);
        if (choice.isEmpty() || decide(Execution.MAY_HAVE_RUN) instanceof Stop) {
            return;
        }
        send.drop("asked_larger_model", false);
        sends.ended(Execution.MAY_HAVE_RUN);
        sends.allowAgain(send.endpoint().id());
        model = larger;
        sendTo(choice.get());
    }

    /**
     * Returns whether to escalate to a larger model: its answer is expected to start close to the goal, or its engine is
     * idle and late only because the prompt is long. A late answer on a busy engine would delay other requests.
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
        sends.ended(Execution.RAN);
        stream.start(send.status(), services.dialect().toCaller(send.headers()));
        caller.endStream();
        finish("answered", send.status());
    }

    @Override
    public void onAnswer(EndpointSend send, EndpointAnswer answer) {
        boolean again =
                stream.hasStarted() || (answer.isFailure() && admitted.route().isRepeatable());
        if (!again) {
            sends.ended(Execution.RAN);
            deliver(answer);
            return;
        }
        sends.ended(Execution.MAY_HAVE_RUN);
        services.journal().sendFailed(admitted.facts().requestId(), send.endpoint(), "failed_by_endpoint");
        heldAnswer = stream.hasStarted() ? Optional.empty() : Optional.of(answer);
        sendAgainOrGiveUp();
    }

    @Override
    public void onFailed(EndpointSend send, Execution verdict) {
        sends.ended(verdict);
        sendAgainOrGiveUp();
    }

    /** Retries at another endpoint if one is available and a retry is allowed; otherwise keeps waiting. */
    @Override
    public void onSilence(EndpointSend send) {
        Optional<EndpointChooser.Choice> next = choose(model, sends.tried());
        if (next.isEmpty() || decide(Execution.MAY_HAVE_RUN) instanceof Stop) {
            return;
        }
        send.drop("silent", true);
        sends.ended(Execution.MAY_HAVE_RUN);
        sendTo(next.get());
    }

    private void onDeadline() {
        if (done) {
            return;
        }
        abandon();
        stopReason = Optional.of(StopReason.DEADLINE);
        if (stream.hasStarted()) {
            caller.breakOff();
            finish("deadline_in_stream", 0);
        } else if (heldAnswer.isPresent()) {
            deliver(heldAnswer.get());
        } else if (sends.execution() == Execution.NOT_RUN) {
            refuse(Refusal.comeBack(ErrorCode.DEADLINE_UNREACHABLE, spread(FULL_RETRY_MILLIS)));
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
            caller.breakOff();
            finish("stream_lost", 0);
        } else if (heldAnswer.isPresent()) {
            deliver(heldAnswer.get());
        } else if (sends.execution() == Execution.NOT_RUN) {
            refuse(Refusal.comeBack(ErrorCode.POOL_EXHAUSTED, spread(FULL_RETRY_MILLIS)));
        } else {
            refuse(Refusal.mayHaveRun(ErrorCode.ENDPOINT_FAILED));
        }
    }

    /** Adds a jitter of 40 percent to a delay, so that callers refused at the same time do not retry together. */
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
                .finished(new RelaySummary(
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
