package baobabcroft.experiment;

import baobabcroft.admission.AdmissionDecision;
import baobabcroft.admission.AdmissionDecision.Queued;
import baobabcroft.admission.AdmissionDecision.Refused;
import baobabcroft.admission.AdmissionDecision.Started;
import baobabcroft.admission.AdmissionRequest;
import baobabcroft.admission.AdmissionTicket;
import baobabcroft.admission.PendingRequest;
import baobabcroft.balance.EndpointCriteria;
import baobabcroft.balance.EndpointLease;
import baobabcroft.balance.FailureKind;
import baobabcroft.balance.Locality;
import baobabcroft.cascade.CascadeChoice;
import baobabcroft.cascade.CascadeStep;
import baobabcroft.cascade.RequestKind;
import baobabcroft.common.ErrorCode;
import baobabcroft.common.Execution;
import baobabcroft.limit.LimitDecision;
import baobabcroft.limit.LimitDecision.Admitted;
import baobabcroft.limit.LimitReservation;
import baobabcroft.poison.Crash;
import baobabcroft.retry.RetryContext;
import baobabcroft.retry.RetryDecision;
import baobabcroft.retry.RetryDecision.Retry;
import baobabcroft.retry.RetryDecision.Stop;
import baobabcroft.retry.RetryPolicy;
import baobabcroft.rollout.AnswerOutcome;
import baobabcroft.rollout.RatingAllocation;
import baobabcroft.rollout.VersionAssignment;
import baobabcroft.rules.AccountRule;
import baobabcroft.rules.VersionId;
import baobabcroft.rules.VersionRule;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;

/** Processing of one request in an instance, from arrival to answer, refusal or failure. */
final class RequestRun implements PendingRequest {
    private static final double QUALITY_TARGET = CostOracle.QUALITY_TARGET;
    private static final double POISON_CRASH_DELAY_MILLIS = 200;
    private static final double ERROR_DELAY_MILLIS = 100;
    private static final double RATING_DELAY_MILLIS = 500;
    private static final double ROLLOUT_RATED_SHARE = 0.1;

    private final SimRequest request;
    private final Instance instance;
    private final Recorder recorder;
    private final EventLoop loop;
    private final double deadlineAtMillis;
    private final RequestKind kind;
    private final Set<String> excluded = new HashSet<>();
    private List<CascadeStep> steps = List.of();
    private CascadeChoice choice;
    private int step;
    private int attempt = 1;
    private Optional<String> avoidedDomain = Optional.empty();
    private LimitReservation reservation;
    private AdmissionTicket ticket;
    private EndpointLease lease;
    private Engine.Job job;
    private double sentMillis;
    private double firstTokenMillis = -1;
    private Optional<Double> answerQuality = Optional.empty();
    private boolean started;
    private boolean done;

    RequestRun(SimRequest request, Instance instance, Recorder recorder) {
        this.request = request;
        this.instance = instance;
        this.recorder = recorder;
        this.loop = instance.fleet().loop();
        double clientMillis = instance.fleet().deployment().clientMillis();
        this.deadlineAtMillis = request.arrivalMillis() + request.deadlineMillis() - clientMillis;
        this.kind = RequestKind.of("account-" + request.account(), "film", request.promptTokens());
    }

    String model() {
        return steps.get(step).version().model();
    }

    private double remainingMillis() {
        return deadlineAtMillis - loop.nowMillis();
    }

    void start() {
        recorder.recordOffered(request);
        if (isKnownPoison()) {
            finishRefused(ErrorCode.POISON_REQUEST);
            return;
        }
        AccountRule account = instance.fleet().rules().account(kind.account()).orElseThrow();
        LimitDecision limit = instance.limits().admit(account, request.maxTokens(), loop.epochMillis());
        if (!(limit instanceof Admitted admitted)) {
            finishRefused(ErrorCode.ACCOUNT_LIMIT);
            return;
        }
        reservation = admitted.reservation();
        steps = cascadeSteps();
        if (steps.isEmpty()) {
            finishRefused(ErrorCode.POOL_EXHAUSTED);
            return;
        }
        instance.retries().requestStarted();
        choice = instance.cascade().choose(kind, steps, QUALITY_TARGET, instance.random());
        step = choice.step();
        loop.scheduleAt(deadlineAtMillis, this::deadlinePassed);
        offerToQueue();
    }

    private boolean isKnownPoison() {
        return instance.policy().crashLedger() && instance.crashes().isPoison(request.digest(), loop.epochMillis());
    }

    private List<CascadeStep> cascadeSteps() {
        List<CascadeStep> found = new ArrayList<>();
        for (String model : Fleet.MODELS) {
            List<VersionRule> versions = instance.fleet().rules().versionsOf(model);
            VersionAssignment.assign("request-" + request.id(), versions, instance.stops()::isStopped)
                    .flatMap(instance.fleet().rules()::version)
                    .ifPresent(rule -> found.add(new CascadeStep(
                            rule.id(),
                            rule.priceMicrosPerThousandTokens(),
                            rule.expectedQuality(),
                            instance.quality().total(rule.id(), kind))));
        }
        return found;
    }

    private void offerToQueue() {
        if (done) {
            return;
        }
        long remaining = (long) remainingMillis();
        AdmissionRequest offered = new AdmissionRequest(kind.account(), request.priority(), remaining, serviceMillis());
        AdmissionDecision decision = instance.queue(this).offer(offered, this);
        if (decision instanceof Started running) {
            ticket = running.ticket();
        } else if (decision instanceof Queued queued) {
            ticket = queued.ticket();
        } else if (decision instanceof Refused refused) {
            refuse(refused);
        }
    }

    private double serviceMillis() {
        return instance.serviceEstimate(model()).expectedMillis(request.maxTokens());
    }

    @Override
    public boolean tryStart() {
        EndpointCriteria criteria = new EndpointCriteria(
                OptionalLong.of(request.prefixDigest()), (long) remainingMillis(), excluded, avoidedDomain);
        Optional<EndpointLease> acquired = instance.acquire(model(), criteria);
        if (acquired.isEmpty()) {
            return false;
        }
        lease = acquired.get();
        started = true;
        sentMillis = loop.nowMillis();
        Engine engine = instance.fleet().engine(lease.rule().name());
        instance.fleet().requestSent(engine.name());
        if (lease.locality() == Locality.ELSEWHERE) {
            recorder.recordCrossRegionBytes(request.bytes());
        }
        int sentAttempt = attempt;
        int sentStep = step;
        loop.scheduleAfter(oneWayMillis(), () -> arriveAt(engine, sentAttempt, sentStep));
        return true;
    }

    private double oneWayMillis() {
        return instance.fleet()
                .latencyMillis(instance.failureDomain(), lease.rule().failureDomain());
    }

    private void arriveAt(Engine engine, int sentAttempt, int sentStep) {
        if (done || sentAttempt != attempt || sentStep != step) {
            return;
        }
        if (!engine.isAlive()) {
            loop.scheduleAfter(oneWayMillis(), () -> attemptFailed(FailureKind.CONNECT, Execution.NOT_RUN));
            return;
        }
        VersionBehavior behavior =
                VersionBehavior.of(version(), instance.fleet().scenario(), loop.nowMillis());
        if (request.uniform(sentAttempt) < behavior.errorRate()) {
            loop.scheduleAfter(
                    ERROR_DELAY_MILLIS, () -> attemptFailed(FailureKind.SERVER_ERROR, Execution.MAY_HAVE_RUN));
            return;
        }
        job = new Engine.Job(
                request,
                behavior.stepFactor(),
                this::firstTokenProduced,
                () -> loop.scheduleAfter(oneWayMillis(), this::answerReceived),
                () -> loop.scheduleAfter(oneWayMillis(), this::connectionLost));
        engine.submit(job);
        if (request.poison()) {
            loop.scheduleAfter(POISON_CRASH_DELAY_MILLIS, () -> instance.fleet().crashByPoison(engine));
        }
    }

    private VersionId version() {
        return steps.get(step).version();
    }

    private void firstTokenProduced() {
        firstTokenMillis = loop.nowMillis() + oneWayMillis();
    }

    private void connectionLost() {
        if (!done) {
            instance.crashes().add(new Crash(request.digest(), lease.rule().name(), loop.epochMillis()));
            attemptFailed(FailureKind.CONNECTION_LOST, Execution.MAY_HAVE_RUN);
        }
    }

    private void release() {
        job = null;
        instance.fleet().requestEnded(lease.rule().name());
        ticket.close();
    }

    private void attemptFailed(FailureKind failure, Execution execution) {
        if (done) {
            return;
        }
        lease.failed(failure);
        release();
        if (execution != Execution.NOT_RUN) {
            recordOutcome(new AnswerOutcome(true, false));
        }
        excluded.add(lease.rule().name());
        avoidedDomain = Optional.of(lease.rule().failureDomain());
        if (isKnownPoison()) {
            finishRefused(ErrorCode.POISON_REQUEST);
            return;
        }
        RetryContext context =
                new RetryContext(execution, true, attempt, (long) remainingMillis(), (long) serviceMillis());
        RetryDecision decision = RetryPolicy.defaults().decide(context, instance.retries(), instance.random());
        if (decision instanceof Retry retry) {
            attempt++;
            recorder.recordRetry();
            loop.scheduleAfter((double) retry.delayMillis(), this::offerToQueue);
        } else if (decision instanceof Stop stop) {
            recorder.recordRetryStopped(stop.reason());
            finish("endpoint_failed");
        }
    }

    private void recordOutcome(AnswerOutcome outcome) {
        instance.evidence().recordAnswer(version(), outcome);
        recorder.recordVersionOutcome(version(), sentMillis, outcome);
    }

    private void answerReceived() {
        if (done) {
            return;
        }
        double tookMillis = loop.nowMillis() - sentMillis;
        lease.succeeded((long) tookMillis);
        instance.serviceEstimate(model()).recordAnswer(request.outputTokens(), tookMillis);
        release();
        Engine engine = instance.fleet().engine(lease.rule().name());
        recordOutcome(new AnswerOutcome(false, isSlow(tookMillis, engine.model())));
        recorder.recordCost(steps.get(step).priceMicrosPerThousandTokens() * request.outputTokens() / 1_000.0);
        double quality = stepQuality();
        answerQuality = Optional.of(quality);
        boolean rated = shouldRate() && instance.ratings().tryTake();
        boolean mayEscalate = rated && choice.escalateBelow() > 0 && step + 1 < steps.size();
        if (rated) {
            recorder.recordRatingRequest();
            VersionId ratedVersion = version();
            double ratedSentMillis = sentMillis;
            loop.scheduleAfter(
                    RATING_DELAY_MILLIS, () -> ratingReceived(ratedVersion, ratedSentMillis, quality, mayEscalate));
        }
        if (!mayEscalate) {
            deliver();
        }
        instance.drain();
    }

    /** Returns whether the mean step time was more than twice the step time of a full batch. */
    private boolean isSlow(double tookMillis, EngineModel model) {
        double steps = request.outputTokens() + request.promptTokens() / model.prefillTokensPerStep();
        return tookMillis / steps > 2 * model.stepMillis(model.maxBatch());
    }

    private boolean shouldRate() {
        List<VersionRule> versions = instance.fleet().rules().versionsOf(model());
        if (versions.size() == 1) {
            return choice.rate();
        }
        VersionRule rule = instance.fleet().rules().version(version()).orElseThrow();
        double probability = RatingAllocation.probability(rule, versions, ROLLOUT_RATED_SHARE);
        return instance.random().nextDouble() < probability;
    }

    private double stepQuality() {
        int index = Fleet.MODELS.indexOf(model());
        double loss = VersionBehavior.of(version(), instance.fleet().scenario(), loop.nowMillis())
                .qualityLoss();
        return Math.max(0, request.qualities().get(index) - loss);
    }

    private void ratingReceived(VersionId version, double ratedSentMillis, double rating, boolean mayEscalate) {
        instance.evidence().recordRating(version, rating);
        instance.quality().addRating(version, kind, rating, QUALITY_TARGET);
        recorder.recordVersionRating(version, ratedSentMillis, rating);
        if (!mayEscalate || done) {
            return;
        }
        OptionalInt next = choice.escalate(step, steps.size(), rating, (long) remainingMillis(), nextServiceMillis());
        if (next.isEmpty()) {
            deliver();
            return;
        }
        recorder.recordEscalation();
        step = next.getAsInt();
        excluded.clear();
        offerToQueue();
    }

    private double nextServiceMillis() {
        String model = steps.get(step + 1).version().model();
        return instance.serviceEstimate(model).expectedMillis(request.maxTokens());
    }

    private void deliver() {
        double clientMillis = instance.fleet().deployment().clientMillis();
        double endMillis = loop.nowMillis() + clientMillis - request.arrivalMillis();
        double first = Math.min(endMillis, firstTokenMillis + clientMillis - request.arrivalMillis());
        recorder.recordDelivered(request, first, endMillis, answerQuality.orElseThrow());
        finish("answered");
    }

    @Override
    public void refuse(Refused refused) {
        if (answerQuality.isPresent()) {
            deliver();
            return;
        }
        finishRefused(refused.code());
    }

    private void finishRefused(ErrorCode code) {
        finish(code.code());
    }

    private void deadlinePassed() {
        if (done) {
            return;
        }
        boolean running = lease != null && lease.cancelled();
        if (running) {
            if (job != null) {
                instance.fleet().engine(lease.rule().name()).cancel(job);
            }
            release();
        } else if (ticket != null) {
            ticket.close();
        }
        if (answerQuality.isPresent()) {
            deliver();
            return;
        }
        finish(running || started ? "deadline_exceeded" : "deadline_unreachable");
    }

    private void finish(String result) {
        if (done) {
            return;
        }
        done = true;
        if (reservation != null) {
            reservation.release(request.outputTokens());
        }
        recorder.recordFinished(request, result, started);
    }
}
