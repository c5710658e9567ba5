package baobabcroft.rollout;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.external.WriteResult;
import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import baobabcroft.relay.AttemptMonitor;
import baobabcroft.replica.StoreRevision;
import baobabcroft.routing.Route;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Sets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * An instance's view of the rollout of one service, and its part in advancing the rollout.
 *
 * <p>There is no leader: each instance that finds the next stage due writes it after a random delay, on condition that
 * the record's revision is the one that it last saw. The first write wins; the other instances see it and skip theirs.
 * Not thread-safe.
 */
final class ServiceRollout {
    /** Scale of the delay before a stage is written, in milliseconds: longer than a write and its notification take. */
    private static final double STAGE_DELAY_SCALE_MILLIS = 550;
    /**
     * Scale of the delay before a bad version is stopped or a lost record is written again, in milliseconds: a conflict
     * costs less than a failure.
     */
    private static final double URGENT_DELAY_SCALE_MILLIS = 140;
    /**
     * Time after the store's return from a copy in which no stage is advanced, in milliseconds, so that an instance
     * that knows a later one can write it again first.
     */
    private static final long ERA_SETTLING_MILLIS = 1_500;
    /** Delay before a retry after a write of unknown outcome, in milliseconds: replies may be seconds late. */
    private static final long RETRY_DELAY_MILLIS = 700;

    private RolloutOrder order;
    private final RolloutWriter writer;
    private final LongSupplier nowMillis;
    private final LongSupplier epochMillis;
    private final UniformRandomProvider random;
    private final IntSupplier instances;
    private final EventLog log = EventLog.of(ServiceRollout.class);
    private final VersionTrials trials;
    private final Map<String, RolloutCounts> peerTargetCounts = new HashMap<>();
    private final Set<String> revertedVersions = new HashSet<>();
    private long startedAtMillis;
    private long stageSinceMillis;
    private Optional<RolloutRecord> record = Optional.empty();
    /** The record in the store; behind {@code record} if the store has lost a write. */
    private Optional<RolloutRecord> storedRecord = Optional.empty();

    /** A record of another order of the service, found in the store in place of this one's. */
    private Optional<RolloutRecord> otherRecord = Optional.empty();

    private StoreRevision recordRevision;
    private StoreRevision statusRevision;
    private Optional<StoreRevision> formerOrder = Optional.empty();
    private long advanceNotBeforeMillis = Long.MIN_VALUE;
    private Optional<RolloutStage> lastReportedStage = Optional.empty();
    private Optional<RolloutStage> scheduledStage = Optional.empty();
    private long stageWriteAtMillis;
    private long statusWriteAtMillis;
    private boolean orderRevisionChanged;
    private boolean peerCountsChanged;
    private boolean writeInProgress;
    private boolean targetIsBad;
    /** When all requests began to move. */
    private OptionalLong allMoveSinceMillis = OptionalLong.empty();

    ServiceRollout(
            RolloutOrder order,
            RolloutWriter writer,
            LongSupplier nowMillis,
            LongSupplier epochMillis,
            UniformRandomProvider random,
            IntSupplier instances) {
        this.order = checkNotNull(order);
        this.writer = checkNotNull(writer);
        this.nowMillis = nowMillis;
        this.epochMillis = epochMillis;
        this.random = random;
        this.instances = instances;
        this.trials = new VersionTrials(nowMillis, this::evaluate);
        this.startedAtMillis = nowMillis.getAsLong();
        this.stageSinceMillis = startedAtMillis;
        this.recordRevision = StoreRevision.absent(order.revision().era());
        this.statusRevision = recordRevision;
    }

    /** Ignores records of an earlier order with the same content, whose rollout has ended. */
    void ignoreRecordsUpTo(StoreRevision former) {
        formerOrder = Optional.of(former);
    }

    /** Excludes versions that earlier rollouts were reverted from, except this rollout's target. */
    void excludeReverted(Set<String> versions) {
        revertedVersions.addAll(versions);
        revertedVersions.remove(order.target());
    }

    /** Returns the versions that must not serve as the old version, although their endpoints may still be listed. */
    Set<String> revertedVersions() {
        return revertedVersions;
    }

    /** Returns the versions that must not be used by the next rollout unless it targets them. */
    Set<String> allRevertedVersions() {
        return stage() == RolloutStage.REVERTED
                ? Sets.union(revertedVersions, Set.of(order.target()))
                : revertedVersions;
    }

    RolloutOrder order() {
        return order;
    }

    /** Returns the stage to apply to requests: the stored one, or REVERTED once this instance finds the version bad. */
    RolloutStage stage() {
        evaluateIfPeerCountsChanged();
        RolloutStage shared = record.map(RolloutRecord::stage).orElse(RolloutStage.HOLDING);
        return targetIsBad && !shared.isFinal() ? RolloutStage.REVERTED : shared;
    }

    /** Returns the share of the sessions that use the new version now. */
    double targetShare(double tryingShare) {
        return RolloutPlan.targetShare(stage(), tryingShare, allMoveSinceMillis.isPresent());
    }

    /** Handles the return of the store in a later era, which may have lost the record and the status. */
    void onEraStarted(long era) {
        recordRevision = StoreRevision.absent(era);
        statusRevision = recordRevision;
        storedRecord = Optional.empty();
        otherRecord = Optional.empty();
        lastReportedStage = Optional.empty();
        scheduledStage = Optional.empty();
        long now = nowMillis.getAsLong();
        advanceNotBeforeMillis = now + ERA_SETTLING_MILLIS;
        statusWriteAtMillis = now + randomDelayMillis(STAGE_DELAY_SCALE_MILLIS);
    }

    /** Handles the stored record. */
    void onRecord(RolloutRecord newRecord, StoreRevision revision) {
        if (!revision.isAfter(recordRevision)) {
            return;
        }
        recordRevision = revision;
        storedRecord = Optional.of(newRecord).filter(this::isOfThisOrder);
        otherRecord = Optional.of(newRecord).filter(unused -> storedRecord.isEmpty());
        if (otherRecord.isPresent()) {
            excludeReverted(newRecord.allRevertedVersions());
            return;
        }
        excludeReverted(newRecord.revertedVersions());
        adoptOrder(newRecord.order());
        if (record.isPresent() && !record.get().stage().isBefore(newRecord.stage())) {
            return;
        }
        if (record.isEmpty()) {
            resumeElapsedTime(newRecord);
        }
        record = Optional.of(newRecord);
        scheduledStage = Optional.empty();
        stageSinceMillis = nowMillis.getAsLong();
        allMoveSinceMillis = OptionalLong.empty();
        statusWriteAtMillis = stageSinceMillis + randomDelayMillis(STAGE_DELAY_SCALE_MILLIS);
        log.log(
                LogEvent.ROLLOUT_STAGE,
                order.service(),
                order.target(),
                newRecord.stage(),
                elapsedMillis(),
                allTargetCounts(),
                trials.base());
    }

    /**
     * Returns whether a record carries out this order. An order that was written again has another revision, so the
     * content decides, except that an ended rollout of the same content precedes an order of the same era.
     */
    private boolean isOfThisOrder(RolloutRecord newRecord) {
        boolean former = formerOrder.isPresent() && !newRecord.order().isAfter(formerOrder.get());
        return newRecord.order().equals(order.revision()) || (newRecord.hasContentOf(order) && !former);
    }

    /**
     * Identifies the order as in a record of another instance, which may have seen it at another revision. All
     * instances settle on the earliest revision. A later one of the same era is a new order with the same content,
     * which other instances have started.
     */
    private void adoptOrder(StoreRevision other) {
        boolean startedAgain = other.era() == order.revision().era() && other.isAfter(order.revision());
        if (startedAgain) {
            record = Optional.empty();
            targetIsBad = false;
            trials.clear();
            peerTargetCounts.clear();
            startedAtMillis = nowMillis.getAsLong();
        }
        if (startedAgain || order.revision().isAfter(other)) {
            order = order.withRevision(other);
            orderRevisionChanged = true;
        }
    }

    /**
     * Takes the rollout's age from its first record, for an instance that has just started. Ignores an age
     * shorter than the time since the order was received, or longer than the rollout's duration: the wall clocks
     * disagree then.
     */
    private void resumeElapsedTime(RolloutRecord first) {
        long ageMillis = epochMillis.getAsLong() - first.startedAtEpochMillis();
        if (ageMillis > elapsedMillis() && ageMillis <= order.durationMillis()) {
            startedAtMillis = nowMillis.getAsLong() - ageMillis;
        }
    }

    /** Handles the stored status. */
    void onStatus(Optional<RolloutStage> stage, StoreRevision revision) {
        if (revision.isAfter(statusRevision)) {
            statusRevision = revision;
            lastReportedStage = stage;
        }
    }

    /**
     * Handles the counts of another instance or failure domain. Counts only grow, except that an instance loses its own
     * when it restarts, and that a sender may know less of its failure domain than another; greater ones are kept then.
     */
    void onCounts(String instance, RolloutCounts counts) {
        if (counts.order().equals(order.revision())) {
            RolloutCounts before = peerTargetCounts.get(instance);
            RolloutCounts after = before == null ? counts : before.max(counts);
            peerTargetCounts.put(instance, after);
            peerCountsChanged |= !after.equals(before);
        }
    }

    /** Evaluates counts of other instances only when a decision needs them, as they arrive many times a second. */
    private void evaluateIfPeerCountsChanged() {
        if (peerCountsChanged) {
            peerCountsChanged = false;
            evaluate();
        }
    }

    /** Starts to observe an attempt of this instance. */
    AttemptMonitor monitorAttempt(String version, Route route) {
        return trials.monitorAttempt(version.equals(order.target()), route);
    }

    private void evaluate() {
        if (targetIsBad || stage().isFinal()) {
            return;
        }
        Map<String, RouteTrials> target = allTargetCounts();
        if (VersionComparison.isBad(target, trials.base())) {
            stopTarget("evidence", target);
        }
    }

    private void stopTarget(String reason, Map<String, RouteTrials> target) {
        targetIsBad = true;
        log.log(LogEvent.VERSION_STOPPED, order.service() + "/" + order.target(), reason, target);
    }

    /** Returns the counts of the new version by route, summed over all instances. */
    private Map<String, RouteTrials> allTargetCounts() {
        Map<String, RouteTrials> sum = new HashMap<>(trials.target());
        for (RolloutCounts counts : peerTargetCounts.values()) {
            counts.routes().forEach((route, routeCounts) -> sum.merge(route, routeCounts, RouteTrials::plus));
        }
        return sum;
    }

    /** Publishes changed counts and writes the stage and status that are due. Called several times a second. */
    void tick() {
        long now = nowMillis.getAsLong();
        trials.countSlowAttempts();
        evaluateIfPeerCountsChanged();
        moveAllWhenDue(now);
        publishChangedCounts();
        if (writeInProgress || otherRecord.filter(this::mayBeOfLaterOrder).isPresent()) {
            return;
        }
        if (record.isEmpty()) {
            writeStageWhenDue(RolloutStage.HOLDING, now);
            return;
        }
        RolloutStage current = record.get().stage();
        if (lastReportedStage.isEmpty() || !lastReportedStage.get().equals(reportedStage(current))) {
            writeStatusWhenDue(now);
        }
        if (isStoredRecordBehind()) {
            writeStageWhenDue(current, now);
            return;
        }
        if (current.isFinal() || now < advanceNotBeforeMillis) {
            return;
        }
        RolloutStage due = dueStage(current, now);
        if (due != current) {
            writeStageWhenDue(due, now);
        }
    }

    /** Completion removes the old endpoints, so it needs a version that is not even suspect. */
    private RolloutStage dueStage(RolloutStage current, long now) {
        RolloutStage due = RolloutPlan.due(order, current, elapsedMillis(), now - stageSinceMillis);
        if (due != RolloutStage.COMPLETE || targetIsBad) {
            return targetIsBad ? RolloutStage.REVERTED : due;
        }
        Map<String, RouteTrials> target = allTargetCounts();
        if (VersionComparison.isSuspect(target, trials.base())) {
            stopTarget("suspect when completion was due", target);
            return RolloutStage.REVERTED;
        }
        boolean allMoved =
                allMoveSinceMillis.isPresent() && now - allMoveSinceMillis.getAsLong() >= RolloutPlan.allMovingMillis();
        return allMoved ? due : current;
    }

    /**
     * Lets all requests move, once half of them have for some time and there is no more evidence against the version.
     */
    private void moveAllWhenDue(long now) {
        boolean halfMoved = record.map(RolloutRecord::stage)
                        .filter(RolloutStage.MOVING::equals)
                        .isPresent()
                && now - stageSinceMillis >= RolloutPlan.halfMovingMillis();
        if (halfMoved
                && allMoveSinceMillis.isEmpty()
                && !VersionComparison.isSuspect(allTargetCounts(), trials.base())) {
            allMoveSinceMillis = OptionalLong.of(now);
        }
    }

    /**
     * Returns whether a record carries out an order that may be later than this one: by its revision, or because its
     * order was lost when the store returned from a copy and is still to be written again.
     */
    private boolean mayBeOfLaterOrder(RolloutRecord other) {
        boolean otherEra = other.orderEra() != order.revision().era();
        return other.order().isAfter(order.revision())
                || (otherEra && !other.stage().isFinal());
    }

    private boolean isStoredRecordBehind() {
        return storedRecord.isEmpty()
                || storedRecord.get().stage().isBefore(record.get().stage());
    }

    /** Returns whether the rollout has ended and nothing is left to write. */
    boolean isSettled() {
        return trials.target().isEmpty()
                && record.isPresent()
                && record.get().stage().isFinal()
                && !isStoredRecordBehind()
                && lastReportedStage.equals(Optional.of(record.get().stage()));
    }

    /** Returns the stage to report to operators, who see all stages that are not final as one. */
    private static RolloutStage reportedStage(RolloutStage stage) {
        return stage.isFinal() ? stage : RolloutStage.HOLDING;
    }

    private void publishChangedCounts() {
        if (record.map(RolloutRecord::stage).filter(RolloutStage::isFinal).isPresent()) {
            trials.clear();
        }
        if (trials.takeTargetChanged() || orderRevisionChanged) {
            orderRevisionChanged = false;
            writer.publishCounts(
                    order.service(), new RolloutCounts(order.revision(), ImmutableMap.copyOf(trials.target())));
        }
    }

    private void writeStageWhenDue(RolloutStage due, long now) {
        if (!scheduledStage.equals(Optional.of(due))) {
            scheduledStage = Optional.of(due);
            boolean urgent = due == RolloutStage.REVERTED || now < advanceNotBeforeMillis;
            stageWriteAtMillis = now + randomDelayMillis(urgent ? URGENT_DELAY_SCALE_MILLIS : STAGE_DELAY_SCALE_MILLIS);
        }
        if (now >= stageWriteAtMillis) {
            writeStage(due);
        }
    }

    private void writeStage(RolloutStage due) {
        writeInProgress = true;
        RolloutRecord next = record.map(current -> current.withStage(due))
                .orElseGet(() ->
                        RolloutRecord.of(order, due, epochMillis.getAsLong() - elapsedMillis(), revertedVersions));
        StoreRevision expected = recordRevision;
        writer.writeRecord(order.service(), expected, next, result -> {
            writeInProgress = false;
            stageWriteAtMillis = nowMillis.getAsLong() + RETRY_DELAY_MILLIS;
            if (result instanceof WriteResult.Done done) {
                onRecord(next, new StoreRevision(expected.era(), done.revision()));
                statusWriteAtMillis = nowMillis.getAsLong();
                tick();
            }
            // After a conflict, the watch delivers the record that another instance wrote.
        });
    }

    private void writeStatusWhenDue(long now) {
        if (now < statusWriteAtMillis) {
            return;
        }
        writeInProgress = true;
        RolloutRecord current = record.get();
        StoreRevision expected = statusRevision;
        writer.writeStatus(order.service(), expected, current, result -> {
            writeInProgress = false;
            statusWriteAtMillis = nowMillis.getAsLong() + RETRY_DELAY_MILLIS;
            if (result instanceof WriteResult.Done done) {
                onStatus(
                        Optional.of(reportedStage(current.stage())),
                        new StoreRevision(expected.era(), done.revision()));
            }
        });
    }

    /**
     * Returns a random delay, distributed so that in a fleet of any size only a few instances write first and the
     * others have time to see that write: the number of instances whose delay has elapsed grows exponentially, by a
     * factor of e in each {@code scaleMillis}.
     */
    private long randomDelayMillis(double scaleMillis) {
        return (long) (scaleMillis * Math.log1p(random.nextDouble() * Math.max(1, instances.getAsInt() - 1)));
    }

    private long elapsedMillis() {
        return nowMillis.getAsLong() - startedAtMillis;
    }
}
