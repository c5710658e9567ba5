package baobabcroft.rollout;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.external.WriteResult;
import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
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
    /** Scale of the delay before a bad version is stopped, in milliseconds: a conflict costs less than a failure. */
    private static final double REVERT_DELAY_SCALE_MILLIS = 140;
    /** Delay before a retry after a write of unknown outcome, in milliseconds: replies may be seconds late. */
    private static final long RETRY_DELAY_MILLIS = 700;
    /** An answer is slow if it takes more than this multiple of the old version's average time. */
    private static final double SLOW_FACTOR = 4;
    /** Weight of a new answer in the moving average of response times. */
    private static final double AVERAGE_WEIGHT = 0.1;

    private final RolloutOrder order;
    private final RolloutWriter writer;
    private final LongSupplier nowMillis;
    private final LongSupplier epochMillis;
    private final UniformRandomProvider random;
    private final IntSupplier instances;
    private final EventLog log = EventLog.of(ServiceRollout.class);
    private final Map<String, RouteCounts> ownTargetCounts = new HashMap<>();
    private final Map<String, RouteCounts> ownBaseCounts = new HashMap<>();
    private final Map<String, Double> baseAverageMillis = new HashMap<>();
    private final Map<String, RolloutCounts> peerTargetCounts = new HashMap<>();
    private long startedAtMillis;
    private long stageSinceMillis;
    private Optional<RolloutRecord> record = Optional.empty();
    private long recordRevision;
    private long statusRevision;
    private Optional<RolloutStage> lastReportedStage = Optional.empty();
    private Optional<RolloutStage> scheduledStage = Optional.empty();
    private long stageWriteAtMillis;
    private long statusWriteAtMillis;
    private boolean ownCountsChanged;
    private boolean peerCountsChanged;
    private boolean writeInProgress;
    private boolean targetIsBad;

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
        this.startedAtMillis = nowMillis.getAsLong();
        this.stageSinceMillis = startedAtMillis;
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

    /** Handles the stored record. */
    void onRecord(RolloutRecord newRecord, long revision) {
        if (newRecord.orderRevision() != order.revision() || revision <= recordRevision) {
            recordRevision = Math.max(recordRevision, revision);
            return;
        }
        boolean advanced = record.isEmpty() || record.get().stage() != newRecord.stage();
        if (record.isEmpty()) {
            resumeElapsedTime(newRecord);
        }
        record = Optional.of(newRecord);
        recordRevision = revision;
        if (advanced) {
            scheduledStage = Optional.empty();
            stageSinceMillis = nowMillis.getAsLong();
            statusWriteAtMillis = stageSinceMillis + randomDelayMillis(STAGE_DELAY_SCALE_MILLIS);
            log.log(LogEvent.ROLLOUT_STAGE, order.service(), order.target(), newRecord.stage(), elapsedMillis());
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
    void onStatus(Optional<RolloutStage> stage, long revision) {
        if (revision > statusRevision) {
            statusRevision = revision;
            lastReportedStage = stage;
        }
    }

    /** Handles the counts of another instance. */
    void onCounts(String instance, RolloutCounts counts) {
        if (counts.orderRevision() == order.revision()) {
            RolloutCounts before = peerTargetCounts.put(instance, counts);
            peerCountsChanged |= !counts.equals(before);
        }
    }

    /** Evaluates counts of other instances only when a decision needs them, as they arrive many times a second. */
    private void evaluateIfPeerCountsChanged() {
        if (peerCountsChanged) {
            peerCountsChanged = false;
            evaluate();
        }
    }

    /** Counts an answer relayed by this instance. */
    void countAnswer(boolean ofTarget, String route, boolean failed, long millis) {
        double average = baseAverageMillis.getOrDefault(route, (double) millis);
        boolean slow = !failed && millis > SLOW_FACTOR * average;
        if (stage().isFinal()) {
            return;
        }
        if (!ofTarget) {
            baseAverageMillis.put(route, average + AVERAGE_WEIGHT * (millis - average));
            ownBaseCounts.merge(route, RouteCounts.NONE.plusAnswer(failed, slow), RouteCounts::plus);
            return;
        }
        ownTargetCounts.merge(route, RouteCounts.NONE.plusAnswer(failed, slow), RouteCounts::plus);
        ownCountsChanged = true;
        if (failed || slow) {
            evaluate();
        }
    }

    private void evaluate() {
        if (targetIsBad || stage().isFinal()) {
            return;
        }
        Map<String, RouteCounts> target = new HashMap<>(ownTargetCounts);
        for (RolloutCounts counts : peerTargetCounts.values()) {
            counts.routes().forEach((route, routeCounts) -> target.merge(route, routeCounts, RouteCounts::plus));
        }
        if (VersionComparison.isBad(target, ownBaseCounts)) {
            targetIsBad = true;
            log.log(LogEvent.VERSION_STOPPED, order.service() + "/" + order.target(), "evidence", target);
        }
    }

    /** Publishes changed counts and writes the stage and status that are due. Called several times a second. */
    void tick() {
        long now = nowMillis.getAsLong();
        evaluateIfPeerCountsChanged();
        publishChangedCounts();
        if (writeInProgress) {
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
        if (current.isFinal()) {
            return;
        }
        RolloutStage due = targetIsBad
                ? RolloutStage.REVERTED
                : RolloutPlan.due(order, current, elapsedMillis(), now - stageSinceMillis);
        if (due != current) {
            writeStageWhenDue(due, now);
        }
    }

    /** Returns whether the rollout has ended and nothing is left to write. */
    boolean isSettled() {
        return ownTargetCounts.isEmpty()
                && record.isPresent()
                && record.get().stage().isFinal()
                && lastReportedStage.equals(Optional.of(record.get().stage()));
    }

    /** Returns the stage to report to operators, who see all stages that are not final as one. */
    private static RolloutStage reportedStage(RolloutStage stage) {
        return stage.isFinal() ? stage : RolloutStage.HOLDING;
    }

    private void publishChangedCounts() {
        if (stage().isFinal()
                && !ownTargetCounts.isEmpty()
                && record.isPresent()
                && record.get().stage().isFinal()) {
            ownTargetCounts.clear();
            ownCountsChanged = true;
        }
        if (ownCountsChanged) {
            ownCountsChanged = false;
            writer.publishCounts(
                    order.service(), new RolloutCounts(order.revision(), ImmutableMap.copyOf(ownTargetCounts)));
        }
    }

    private void writeStageWhenDue(RolloutStage due, long now) {
        if (!scheduledStage.equals(Optional.of(due))) {
            scheduledStage = Optional.of(due);
            stageWriteAtMillis = now
                    + randomDelayMillis(
                            due == RolloutStage.REVERTED ? REVERT_DELAY_SCALE_MILLIS : STAGE_DELAY_SCALE_MILLIS);
        }
        if (now >= stageWriteAtMillis) {
            writeStage(due);
        }
    }

    private void writeStage(RolloutStage due) {
        writeInProgress = true;
        RolloutRecord next = record.map(current -> current.withStage(due))
                .orElseGet(() -> new RolloutRecord(
                        order.revision(), order.target(), due, epochMillis.getAsLong() - elapsedMillis()));
        writer.writeRecord(order.service(), recordRevision, next, result -> {
            writeInProgress = false;
            stageWriteAtMillis = nowMillis.getAsLong() + RETRY_DELAY_MILLIS;
            if (result instanceof WriteResult.Done done) {
                onRecord(next, done.revision());
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
        writer.writeStatus(order.service(), statusRevision, current, result -> {
            writeInProgress = false;
            statusWriteAtMillis = nowMillis.getAsLong() + RETRY_DELAY_MILLIS;
            if (result instanceof WriteResult.Done done) {
                onStatus(Optional.of(reportedStage(current.stage())), done.revision());
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
