package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.common.ErrorCode;
import baobabcroft.common.Execution;
import baobabcroft.common.Scheduler;
import baobabcroft.directory.EndpointEntry;
import baobabcroft.fairness.FairAdmission;
import baobabcroft.fairness.FairRequest;
import baobabcroft.relay.ForwardingHeaders.PriorSends;
import baobabcroft.retry.RequestAttempts;
import baobabcroft.retry.RetryBudget;
import baobabcroft.retry.RetryDecision;
import baobabcroft.retry.RetryDecision.Stop;
import baobabcroft.retry.RetryDecision.StopReason;
import baobabcroft.retry.RetryPolicy;
import baobabcroft.routing.AccountProfile;
import baobabcroft.routing.RoutingTable;
import baobabcroft.routing.ServiceProfile;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * One request of a caller, from its arrival to its final answer.
 *
 * <p>Invariants: the caller receives exactly one complete answer or one stream; a request that is not repeatable is
 * sent again only if the endpoint has stated, or the transport has shown, that it did not run; an answer that states
 * "not run" is given only if the same holds for all attempts. Not thread-safe.
 */
public final class RelayedRequest implements RequestInProgress, EndpointAttempt.Owner {
    /** Minimum remaining time for an attempt, in milliseconds: less does not allow a round trip between regions. */
    private static final long MIN_ATTEMPT_MILLIS = 20;
    /** Attempts that are not counted against the route's maximum as long as the request has not run. */
    private static final int MAX_UNCOUNTED_ATTEMPTS = 3;
    /** Mean retry delay given to callers when no endpoint could run the request, in milliseconds. */
    private static final long NO_ENDPOINT_RETRY_MILLIS = 400;
    /**
     * Mean retry delay given to callers when no endpoint may serve the request at all, in milliseconds: about the time
     * in which a change of the configuration, or the end of an evacuation, reaches the instances.
     */
    private static final long NO_PLACEMENT_RETRY_MILLIS = 2_000;
    /** Mean retry delay for a request that exceeds the memory of all endpoints, in milliseconds. */
    private static final long TOO_LARGE_RETRY_MILLIS = 60_000;
    /** Maximum wait for the first configuration, in milliseconds: an eighth of goals of a few seconds. */
    private static final long CONFIG_WAIT_MILLIS = 250;

    private static final long CONFIG_POLL_MILLIS = 25;
    /** Retry delay given to callers while the instance has no configuration, in milliseconds. */
    private static final long NO_CONFIG_RETRY_MILLIS = 1_000;
    /** Mean retry delay given to callers of an instance that stops, in milliseconds: others can serve them at once. */
    private static final long PLANNED_STOP_RETRY_MILLIS = 100;

    private final RelayServices services;
    private final CallerRequest request;
    private final CallerExchange caller;
    /** Sends of the instance that forwarded the request; empty if it came from the caller itself. */
    private final Optional<PriorSends> priorSends;

    private final long arrivedAtMillis;
    private Admission.Admitted admitted;
    private EndpointSelection selection;
    private OutgoingRequests outgoingRequests;
    private RequestAttempts attempts = RequestAttempts.create(false, MAX_UNCOUNTED_ATTEMPTS);
    private RetryPolicy retryPolicy;
    private CallerStream stream;
    private String requestId = "";
    private String service = "";
    private Optional<String> model = Optional.empty();
    private Optional<EndpointAttempt> currentAttempt = Optional.empty();
    private Optional<EndpointAnswer> lastFailure = Optional.empty();
    private Optional<StopReason> stopReason = Optional.empty();
    private long deadlineAtMillis;
    private boolean forwarded;
    private int endpointSends;
    private boolean reachedEndpoint;
    private boolean waited;
    private boolean delivered;
    private boolean done;
    private FairAdmission.Admitted accountUse = FairAdmission.Admitted.NONE;
    private Optional<Scheduler.Cancellable> pauseWait = Optional.empty();
    private final Runnable placementListener = this::onPlacementChanged;
    private Scheduler.Cancellable deadlineTimer = () -> {};
    private Scheduler.Cancellable plannedStopEnd = () -> {};

    private RelayedRequest(
            RelayServices services, CallerRequest request, CallerExchange caller, Optional<PriorSends> priorSends) {
        this.services = checkNotNull(services);
        this.request = checkNotNull(request);
        this.caller = checkNotNull(caller);
        this.priorSends = priorSends;
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
        return start(new RelayedRequest(services, request, caller, Optional.empty()));
    }

    /** Starts serving a request that another instance has forwarded; it is not forwarded again. */
    static RelayedRequest startForwarded(
            RelayServices services, CallerRequest request, CallerExchange caller, PriorSends priorSends) {
        return start(new RelayedRequest(services, request, caller, Optional.of(priorSends)));
    }

    private static RelayedRequest start(RelayedRequest relayed) {
        relayed.begin();
        return relayed;
    }

    @Override
    public void onCallerDisconnected() {
        if (!done) {
            cancelAttempt();
            finish("caller_gone", 0);
        }
    }

    @Override
    public boolean isDone() {
        return done;
    }

    @Override
    public long remainingMillis() {
        return services.plannedStop().limit(deadlineAtMillis)
                - services.nowMillis().getAsLong();
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
        Admission.Result result = Admission.decide(
                services,
                table.get(),
                request,
                priorSends.orElse(PriorSends.NONE).allowedRegions());
        if (result instanceof Admission.Refused refused) {
            requestId = refused.requestId();
            if (isRefusedByOlderConfiguration(table.get(), refused)) {
                returnToForwardingInstance(ForwardedRequests.OLDER_CONFIGURATION);
            } else {
                refuse(refused.refusal());
            }
        } else if (result instanceof Admission.Admitted allowed) {
            admit(allowed);
        }
    }

    /** Returns whether the instance that forwarded the request has admitted it by a newer configuration. */
    private boolean isRefusedByOlderConfiguration(RoutingTable table, Admission.Refused refused) {
        return refused.isByConfiguration() && priorSends.orElse(PriorSends.NONE).configVersion() > table.version();
    }

    /**
     * Retries admission shortly. An instance that has just started is about to read its configuration, and a short wait
     * costs the caller less than a refusal.
     */
    private void awaitConfiguration() {
        if (services.nowMillis().getAsLong() - arrivedAtMillis < CONFIG_WAIT_MILLIS) {
            services.scheduler().schedule(CONFIG_POLL_MILLIS, this::begin);
        } else {
            refuse(Refusal.retryAfter(ErrorCode.CONFIG_STALE, NO_CONFIG_RETRY_MILLIS));
        }
    }

    private void admit(Admission.Admitted allowed) {
        admitted = allowed;
        CallerMetadata metadata = allowed.metadata();
        requestId = metadata.requestId();
        deadlineAtMillis = arrivedAtMillis + allowed.timeoutMillis();
        if (!services.plannedStop().leavesTimeFor(allowed.route(), deadlineAtMillis)) {
            refuseBeforePlannedStop();
            return;
        }
        deadlineTimer = services.scheduler().schedule(allowed.timeoutMillis(), this::onDeadline);
        plannedStopEnd = services.plannedStop().onEnd(this::onDeadline);
        attempts = RequestAttempts.create(allowed.route().isRepeatable(), MAX_UNCOUNTED_ATTEMPTS);
        int priorRuns = priorSends.orElse(PriorSends.NONE).possibleRuns();
        retryPolicy = RetryPolicy.immediate(Math.max(1, allowed.route().maxEndpoints() - priorRuns));
        stream = new CallerStream(caller, metadata.resumeAfter());
        service = allowed.route().pickService(services.random().nextDouble());
        selection = new EndpointSelection(services, allowed, service);
        outgoingRequests = new OutgoingRequests(services, allowed);
        model = metadata.routerChoosesModel()
                ? services.modelChooser().initialModel(allowed.route(), metadata.prompt())
                : Optional.empty();
        if (remainingMillis() < MIN_ATTEMPT_MILLIS) {
            fail(StopReason.DEADLINE);
            return;
        }
        if (selection.isLargerThanMemory(model)) {
            refuse(Refusal.retryAfter(ErrorCode.POOL_EXHAUSTED, withJitter(TOO_LARGE_RETRY_MILLIS)));
            return;
        }
        FairRequest fairRequest = allowed.fairRequest(service, model);
        // A forwarded request was admitted by the instance that its caller is connected to.
        OptionalLong refusalMillis = priorSends.isPresent()
                ? OptionalLong.empty()
                : services.fairness().refusalMillis(fairRequest);
        if (refusalMillis.isPresent()) {
            refuse(Refusal.retryAfter(ErrorCode.OVERLOADED, withJitter(refusalMillis.getAsLong())));
            return;
        }
        accountUse = services.fairness().start(fairRequest);
        startFirstAttempt();
    }

    private void refuseBeforePlannedStop() {
        if (priorSends.isPresent()) {
            returnToForwardingInstance("stopping");
        } else {
            refuse(Refusal.retryAfter(ErrorCode.DRAINING, withJitter(PLANNED_STOP_RETRY_MILLIS)));
        }
    }

    private void startFirstAttempt() {
        Optional<EndpointChooser.Choice> peer = choosePeer();
        if (peer.isPresent()) {
            startForwarding(peer.get());
            return;
        }
        chooseEndpoint().ifPresentOrElse(this::startAttempt, this::forwardToHolder);
    }

    /**
     * Returns the endpoint for the next attempt. An isolated instance tries endpoints only for requests that any other
     * instance could have served: for the others, there is no endpoint or instance in their regions within reach.
     */
    private Optional<EndpointChooser.Choice> chooseEndpoint() {
        boolean outOfReach = admitted.allowedRegions().isRestricted()
                && services.forwarding().isIsolated();
        return outOfReach ? Optional.empty() : selection.choose(model, attempts.triedEndpoints());
    }

    /** Forwards the request to an instance that holds a part of what the service's endpoints take, or ends it. */
    private void forwardToHolder() {
        if (priorSends.isPresent() && attempts.execution() == Execution.NOT_RUN && !selection.hasPlaceable()) {
            returnToForwardingInstance("no_allowed_endpoint");
            return;
        }
        ImmutableSet<String> holders = selection.partHolders();
        if (priorSends.isPresent() && attempts.execution() == Execution.NOT_RUN && !holders.isEmpty()) {
            returnToForwardingInstance("no_part");
            return;
        }
        Optional<EndpointChooser.Choice> holder = priorSends.isPresent()
                ? Optional.empty()
                : services.forwarding().chooseAmong(admitted.allowedRegions(), holders, attempts.triedEndpoints());
        if (holder.isPresent()) {
            forwardOrFail(holder.get());
        } else {
            awaitPauseEnd();
        }
    }

    /**
     * Waits for the end of a pause of the service's endpoints, once and for at most half of the remaining time, or ends
     * the request. One that has been sent already does not wait, as it may get no further attempt.
     */
    private void awaitPauseEnd() {
        OptionalLong waitMillis = attempts.attemptCount() == 0 && !waited
                ? selection.enterPauseQueue(remainingMillis() / 2, placementListener)
                : OptionalLong.empty();
        if (waitMillis.isEmpty()) {
            fail(StopReason.NO_ENDPOINT);
            return;
        }
        waited = true;
        services.listener().onWaiting(requestId, waitMillis.getAsLong());
        pauseWait = Optional.of(services.scheduler().schedule(waitMillis.getAsLong(), this::onPauseEnd));
    }

    private void onPauseEnd() {
        leavePauseQueue();
        startFirstAttempt();
    }

    /** Ends the wait for the end of a pause if no endpoint may serve the request any more. */
    private void onPlacementChanged() {
        if (!selection.hasPlaceable()) {
            onPauseEnd();
        }
    }

    private void leavePauseQueue() {
        pauseWait.ifPresent(timer -> {
            timer.cancel();
            selection.leavePauseQueue(placementListener);
        });
        pauseWait = Optional.empty();
    }

    /** Returns the instance to forward the request to; empty if it is to be sent to an endpoint. */
    private Optional<EndpointChooser.Choice> choosePeer() {
        return priorSends.isPresent()
                ? Optional.empty()
                : services.forwarding().choose(admitted.allowedRegions(), attempts.triedEndpoints());
    }

    private RetryBudget budget() {
        return services.retryBudgets().apply(service);
    }

    /** Returns whether to retry if the open attempt ends as given. A retry is taken from the service's budget. */
    private RetryDecision decideRetry(Execution execution) {
        return decideRetry(execution, budget());
    }

    private RetryDecision decideRetry(Execution execution, RetryBudget retryBudget) {
        return retryPolicy.decide(
                attempts.retryContext(execution, remainingMillis(), MIN_ATTEMPT_MILLIS),
                retryBudget,
                services.random());
    }

    /** Returns whether the request must not be sent any more. It may have become known after the first attempt. */
    private boolean isPoison() {
        return services.poisonDetector().isPoison(admitted.identity());
    }

    /** Goes on after an attempt that ended without an answer for the caller. */
    private void retryOrFail(boolean endpointReached) {
        reachedEndpoint |= endpointReached;
        if (isPoison()) {
            fail(StopReason.POISON);
            return;
        }
        if (priorSends.isPresent()
                && attempts.execution() == Execution.NOT_RUN
                && services.forwarding().isNeeded()) {
            returnToForwardingInstance("isolated");
            return;
        }
        Optional<EndpointChooser.Choice> peer = choosePeer();
        if (peer.isPresent()) {
            forwardOrFail(peer.get());
            return;
        }
        Optional<EndpointChooser.Choice> next = chooseEndpoint();
        if (next.isEmpty()) {
            forwardToHolder();
        } else if (decideRetry(Execution.NOT_RUN, endpointReached ? budget() : RetryBudget.unlimited())
                instanceof Stop stop) {
            fail(stop.reason());
        } else {
            startAttempt(next.get());
        }
    }

    /** States that the request was not sent, so that the other instance tries a third one. */
    private void returnToForwardingInstance(String reason) {
        caller.answer(ForwardedRequests.UNAVAILABLE_STATUS, ForwardingHeaders.rejection(reason), new byte[0]);
        finish("returned_" + reason, ForwardedRequests.UNAVAILABLE_STATUS);
    }

    /** Forwarding takes nothing from the retry budget as long as no endpoint can have received the request. */
    private void forwardOrFail(EndpointChooser.Choice peer) {
        if (remainingMillis() < MIN_ATTEMPT_MILLIS) {
            fail(StopReason.DEADLINE);
        } else if (reachedEndpoint && decideRetry(attempts.execution(), budget()) instanceof Stop stop) {
            fail(stop.reason());
        } else {
            startForwarding(peer);
        }
    }

    private void startForwarding(EndpointChooser.Choice peer) {
        int sends = endpointSends + priorSends.orElse(PriorSends.NONE).sends();
        EndpointRequest outgoing = outgoingRequests.toInstance(
                new PriorSends(
                        Math.max(sends, attempts.possibleRuns()),
                        attempts.possibleRuns(),
                        admitted.allowedRegions(),
                        admitted.table().version()),
                remainingMillis(),
                stream.lastEvent());
        forwarded = true;
        onAttemptStarting(peer, Optional.empty());
        currentAttempt = Optional.of(services.forwarding().start(services, admitted, peer.endpoint(), outgoing, this));
    }

    private void onAttemptStarting(EndpointChooser.Choice choice, Optional<String> wantedModel) {
        attempts.attemptStarted(choice.endpoint().id());
        services.listener()
                .onAttemptStarted(
                        requestId, new AttemptInfo(choice, wantedModel, attempts.attemptCount(), stream.lastEvent()));
    }

    private void startAttempt(EndpointChooser.Choice choice) {
        if (endpointSends + priorSends.orElse(PriorSends.NONE).sends() == 0) {
            budget().requestStarted();
        }
        endpointSends++;
        forwarded = false;
        EndpointEntry endpoint = choice.endpoint();
        EndpointRequest outgoing = outgoingRequests.toEndpoint(endpoint, model, remainingMillis(), stream.lastEvent());
        onAttemptStarting(choice, model);
        long cacheTokens = admitted.serviceProfile(service)
                .map(ServiceProfile::cacheTokens)
                .orElse(0L);
        EndpointLoads.InFlightRequest inFlightRequest = services.loads()
                .stateOf(endpoint)
                .startRequest(model, admitted.metadata().prompt(), cacheTokens, choice.roundTripMillis());
        currentAttempt =
                Optional.of(EndpointAttempt.start(services, admitted, endpoint, inFlightRequest, outgoing, this));
    }

    /** Escalates from a smaller model to a larger one if the caller has not received anything yet. */
    @Override
    public void onSuccess(EndpointAttempt attempt, AnswerMetadata answer) {
        if (forwarded || stream.hasStarted() || model.isEmpty()) {
            return;
        }
        Optional<String> larger = services.modelChooser()
                .escalationModel(
                        admitted.route(), admitted.metadata().prompt(), model.get(), answer.confidencePercent());
        if (larger.isEmpty() || isPoison()) {
            return;
        }
        Set<String> otherTriedEndpoints = Sets.difference(
                attempts.triedEndpoints(), Set.of(attempt.endpoint().id()));
        Optional<EndpointChooser.Choice> choice =
                selection.choose(larger, otherTriedEndpoints).filter(this::isWorthEscalating);
        if (choice.isEmpty() || decideRetry(Execution.MAY_HAVE_RUN) instanceof Stop) {
            return;
        }
        attempt.supersede();
        attempts.attemptEnded(Execution.MAY_HAVE_RUN);
        attempts.allowRetryAt(attempt.endpoint().id());
        model = larger;
        startAttempt(choice.get());
    }

    private boolean isWorthEscalating(EndpointChooser.Choice choice) {
        long goalLeftMillis = arrivedAtMillis
                + admitted.route().goalMillis()
                - services.nowMillis().getAsLong();
        return EscalationRule.isWorthwhile(choice, goalLeftMillis);
    }

    @Override
    public boolean onEvent(EndpointAttempt attempt, EventSplitter.Event event) {
        CallerStream.Position position = stream.positionOf(event);
        if (position == CallerStream.Position.NEXT) {
            stream.start(attempt.status(), services.dialect().toCaller(attempt.headers()));
            stream.add(event);
        }
        return position != CallerStream.Position.GAP;
    }

    @Override
    public void onEventsRead() {
        stream.flush();
    }

    @Override
    public void onStreamEnd(EndpointAttempt attempt) {
        attempts.attemptEnded(Execution.RAN);
        stream.start(attempt.status(), services.dialect().toCaller(attempt.headers()));
        stream.end();
        finishAnswered(attempt.status());
    }

    @Override
    public void onAnswer(EndpointAttempt attempt, EndpointAnswer answer) {
        boolean isRepeatableFailure = answer.isFailure() && admitted.route().isRepeatable() && !forwarded;
        boolean retry = stream.hasStarted() || isRepeatableFailure;
        if (!retry) {
            attempts.attemptEnded(Execution.RAN);
            deliver(answer);
            return;
        }
        attempts.attemptEnded(Execution.MAY_HAVE_RUN);
        services.listener().onAttemptFailed(admitted.metadata().requestId(), attempt.endpoint(), "failed_by_endpoint");
        lastFailure = stream.hasStarted() ? Optional.empty() : Optional.of(answer);
        retryOrFail(true);
    }

    @Override
    public void onFailed(EndpointAttempt attempt, Execution execution) {
        attempts.attemptEnded(execution);
        boolean rejectedByInstance = forwarded && execution == Execution.NOT_RUN;
        retryOrFail(!rejectedByInstance);
    }

    /** Takes nothing from the budget: it limits what endpoints get, and none has got anything. */
    @Override
    public void onUnsent(EndpointAttempt attempt) {
        attempts.attemptEnded(Execution.NOT_RUN);
        retryOrFail(false);
    }

    /** Retries at another endpoint or instance if one is available and a retry is allowed; otherwise keeps waiting. */
    @Override
    public void onStalled(EndpointAttempt attempt) {
        if (isPoison()) {
            return;
        }
        Optional<EndpointChooser.Choice> peer = choosePeer();
        Optional<EndpointChooser.Choice> next = peer.isPresent() ? peer : chooseEndpoint();
        if (next.isEmpty() || decideRetry(Execution.MAY_HAVE_RUN) instanceof Stop) {
            return;
        }
        attempt.giveUpStalled();
        attempts.attemptEnded(Execution.MAY_HAVE_RUN);
        if (peer.isPresent()) {
            startForwarding(next.get());
        } else {
            startAttempt(next.get());
        }
    }

    private void onDeadline() {
        if (done) {
            return;
        }
        cancelAttempt();
        stopReason = Optional.of(StopReason.DEADLINE);
        if (stream.hasStarted()) {
            stream.abort();
            finish("deadline_in_stream", 0);
        } else if (lastFailure.isPresent()) {
            deliver(lastFailure.get());
        } else if (attempts.execution() == Execution.NOT_RUN) {
            refuse(Refusal.retryAfter(ErrorCode.DEADLINE_UNREACHABLE, withJitter(NO_ENDPOINT_RETRY_MILLIS)));
        } else {
            refuse(Refusal.mayHaveRun(ErrorCode.DEADLINE_EXCEEDED));
        }
    }

    private void cancelAttempt() {
        currentAttempt.ifPresent(EndpointAttempt::cancel);
    }

    private void fail(StopReason reason) {
        stopReason = Optional.of(reason);
        if (reason == StopReason.NO_ENDPOINT) {
            services.listener().onNoEndpoint(requestId, selection.exclusions());
        }
        if (stream.hasStarted()) {
            stream.abort();
            finish("stream_lost", 0);
        } else if (lastFailure.isPresent()) {
            deliver(lastFailure.get());
        } else if (attempts.execution() == Execution.NOT_RUN && reason == StopReason.POISON) {
            refuse(Admission.POISON_REFUSAL);
        } else if (attempts.execution() == Execution.NOT_RUN) {
            refuse(Refusal.retryAfter(ErrorCode.POOL_EXHAUSTED, retryAfterMillis()));
        } else {
            refuse(Refusal.mayHaveRun(ErrorCode.ENDPOINT_FAILED));
        }
    }

    private long retryAfterMillis() {
        return selection.hasPlaceable()
                ? selection.soonestMillis() + withJitter(NO_ENDPOINT_RETRY_MILLIS)
                : withJitter(NO_PLACEMENT_RETRY_MILLIS);
    }

    /** Adds a jitter of 40 percent to a delay, so that callers refused at the same time do not retry together. */
    private long withJitter(long millis) {
        return (long) (millis * (0.6 + 0.8 * services.random().nextDouble()));
    }

    private void deliver(EndpointAnswer answer) {
        delivered = true;
        caller.answer(answer.status(), services.dialect().toCaller(answer.headers()), answer.body());
        if (answer.isFailure()) {
            finish("endpoint_failed", answer.status());
        } else {
            finishAnswered(answer.status());
        }
    }

    private void finishAnswered(int status) {
        services.plannedStop().onAnswered(admitted.route(), services.nowMillis().getAsLong() - arrivedAtMillis);
        finish("answered", status);
    }

    private void refuse(Refusal refusal) {
        int status = services.dialect().statusOf(refusal);
        caller.answer(status, services.dialect().headersOf(refusal), new byte[0]);
        finish(refusal.code().code(), status);
    }

    private void finish(String outcome, int status) {
        done = true;
        deadlineTimer.cancel();
        plannedStopEnd.cancel();
        leavePauseQueue();
        accountUse.end();
        Optional<Admission.Admitted> admittedIfAny = Optional.ofNullable(admitted);
        services.listener()
                .onFinished(new RelaySummary(
                        requestId,
                        admittedIfAny.map(request -> request.route().name()),
                        admittedIfAny.flatMap(Admission.Admitted::account).map(AccountProfile::name),
                        outcome,
                        stopReason.map(reason -> reason.name().toLowerCase(Locale.ROOT)),
                        status,
                        delivered ? Execution.RAN : attempts.execution(),
                        attempts.attemptCount(),
                        services.nowMillis().getAsLong() - arrivedAtMillis,
                        admittedIfAny.map(request -> request.table().version()).orElse(0L)));
    }
}
