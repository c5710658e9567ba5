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
    private static final double STAGE_SCALE_MILLIS = 550;
    /** Scale of the delay before a bad version is stopped, in milliseconds: a write conflict costs less than a failure. */
    private static final double REVERT_SCALE_MILLIS = 140;
    /** Delay before a retry after a write of unknown outcome, in milliseconds: replies of the store may be seconds late. */
    private static final long RETRY_MILLIS = 700;
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
    private final Map<String, RouteTrials> ownTarget = new HashMap<>();
    private final Map<String, RouteTrials> ownBase = new HashMap<>();
    private final Map<String, Double> baseMillis = new HashMap<>();
    private final Map<String, RolloutCounts> othersTarget = new HashMap<>();
    private long startedAtMillis;
    private long stageSinceMillis;
    private Optional<RolloutRecord> record = Optional.empty();
    private long recordRevision;
    private long announcedRevision;
    private Optional<RolloutStage> announced = Optional.empty();
    private Optional<RolloutStage> planned = Optional.empty();
    private long writeAtMillis;
    private long announceAtMillis;
    private boolean evidenceChanged;
    private boolean othersChanged;
    private boolean writing;
    private boolean bad;

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
        judgeOthers();
        RolloutStage shared = record.map(RolloutRecord::stage).orElse(RolloutStage.HOLDING);
        return bad && !shared.isFinal() ? RolloutStage.REVERTED : shared;
    }

    /** Handles the stored record. */
    void seen(RolloutRecord newRecord, long revision) {
        if (newRecord.orderRevision() != order.revision() || revision <= recordRevision) {
            recordRevision = Math.max(recordRevision, revision);
            return;
        }
        boolean advanced = record.isEmpty() || record.get().stage() != newRecord.stage();
        if (record.isEmpty()) {
            resumeClock(newRecord);
        }
        record = Optional.of(newRecord);
        recordRevision = revision;
        if (advanced) {
            planned = Optional.empty();
            stageSinceMillis = nowMillis.getAsLong();
            announceAtMillis = stageSinceMillis + pause(STAGE_SCALE_MILLIS);
            log.log(LogEvent.ROLLOUT_STAGE, order.service(), order.target(), newRecord.stage(), elapsedMillis());
        }
    }

    /**
     * Takes the rollout's age from its first record, for an instance that has just started. Ignores an age beyond the
     * rollout's duration, which shows that the wall clocks disagree.
     */
    private void resumeClock(RolloutRecord first) {
        long ageMillis = epochMillis.getAsLong() - first.startedAtEpochMillis();
        if (ageMillis > elapsedMillis() && ageMillis <= order.durationMillis()) {
            startedAtMillis = nowMillis.getAsLong() - ageMillis;
        }
    }

    /** Handles the stored status. */
    void announcedSeen(Optional<RolloutStage> stage, long revision) {
        if (revision > announcedRevision) {
            announcedRevision = revision;
            announced = stage;
        }
    }

    /** Handles the counts of another instance. */
    void heard(String instance, RolloutCounts counts) {
        if (counts.orderRevision() == order.revision()) {
            RolloutCounts before = othersTarget.put(instance, counts);
            othersChanged |= !counts.equals(before);
        }
    }

    /** Evaluates counts of other instances only when a decision needs them, as they arrive many times a second. */
    private void judgeOthers() {
        if (othersChanged) {
            othersChanged = false;
            judge();
        }
    }

    /** Counts an answer relayed by this instance. */
    void answered(boolean ofTarget, String route, boolean failed, long millis) {
        double average = baseMillis.getOrDefault(route, (double) millis);
        boolean slow = !failed && millis > SLOW_FACTOR * average;
        if (stage().isFinal()) {
            return;
        }
        if (!ofTarget) {
            baseMillis.put(route, average + AVERAGE_WEIGHT * (millis - average));
            ownBase.merge(route, RouteTrials.NONE.plusAnswer(failed, slow), RouteTrials::plus);
            return;
        }
        ownTarget.merge(route, RouteTrials.NONE.plusAnswer(failed, slow), RouteTrials::plus);
        evidenceChanged = true;
        if (failed || slow) {
            judge();
        }
    }

    private void judge() {
        if (bad || stage().isFinal()) {
            return;
        }
        Map<String, RouteTrials> target = new HashMap<>(ownTarget);
        for (RolloutCounts counts : othersTarget.values()) {
            counts.routes().forEach((route, trials) -> target.merge(route, trials, RouteTrials::plus));
        }
        if (VersionTrial.isBad(target, ownBase)) {
            bad = true;
            log.log(LogEvent.VERSION_STOPPED, order.service() + "/" + order.target(), "evidence", target);
        }
    }

    /** Publishes changed counts and writes the stage and status that are due. Called several times a second. */
    void tick() {
        long now = nowMillis.getAsLong();
        judgeOthers();
        shareEvidence();
        if (writing) {
            return;
        }
        if (record.isEmpty()) {
            plan(RolloutStage.HOLDING, now);
            return;
        }
        RolloutStage current = record.get().stage();
        if (announced.isEmpty() || !announced.get().equals(told(current))) {
            announceWhenDue(now);
        }
        if (current.isFinal()) {
            return;
        }
        RolloutStage due =
                bad ? RolloutStage.REVERTED : RolloutPlan.due(order, current, elapsedMillis(), now - stageSinceMillis);
        if (due != current) {
            plan(due, now);
        }
    }

    /** Returns whether the rollout has ended and nothing is left to write. */
    boolean isSettled() {
        return ownTarget.isEmpty()
                && record.isPresent()
                && record.get().stage().isFinal()
                && announced.equals(Optional.of(record.get().stage()));
    }

    /** Returns the stage to report to operators, who see all stages that are not final as one. */
    private static RolloutStage told(RolloutStage stage) {
        return stage.isFinal() ? stage : RolloutStage.HOLDING;
    }

    private void shareEvidence() {
        if (stage().isFinal()
                && !ownTarget.isEmpty()
                && record.isPresent()
                && record.get().stage().isFinal()) {
            ownTarget.clear();
            evidenceChanged = true;
        }
        if (evidenceChanged) {
            evidenceChanged = false;
            writer.writeEvidence(order.service(), new RolloutCounts(order.revision(), ImmutableMap.copyOf(ownTarget)));
        }
    }

    private void plan(RolloutStage due, long now) {
        if (!planned.equals(Optional.of(due))) {
            planned = Optional.of(due);
            writeAtMillis = now + pause(due == RolloutStage.REVERTED ? REVERT_SCALE_MILLIS : STAGE_SCALE_MILLIS);
        }
        if (now >= writeAtMillis) {
            write(due);
        }
    }

    private void write(RolloutStage due) {
        writing = true;
        RolloutRecord next = record.map(current -> current.at(due))
                .orElseGet(() -> new RolloutRecord(
                        order.revision(), order.target(), due, epochMillis.getAsLong() - elapsedMillis()));
        writer.writeRecord(order.service(), recordRevision, next, result -> {
            writing = false;
            writeAtMillis = nowMillis.getAsLong() + RETRY_MILLIS;
            if (result instanceof WriteResult.Done done) {
                seen(next, done.revision());
                announceAtMillis = nowMillis.getAsLong();
                tick();
            }
            // After a conflict, the watch delivers the record that another instance wrote.
        });
    }

    private void announceWhenDue(long now) {
        if (now < announceAtMillis) {
            return;
        }
        writing = true;
        RolloutRecord current = record.get();
        writer.announce(order.service(), announcedRevision, current, result -> {
            writing = false;
            announceAtMillis = nowMillis.getAsLong() + RETRY_MILLIS;
            if (result instanceof WriteResult.Done done) {
                announcedSeen(Optional.of(told(current.stage())), done.revision());
            }
        });
    }

    /**
     * Returns a random delay, distributed so that in a fleet of any size only a few instances write first and the others
     * have time to see that write: the number of instances whose delay has elapsed grows exponentially, by a factor of e
     * in each {@code scaleMillis}.
     */
    private long pause(double scaleMillis) {
        return (long) (scaleMillis * Math.log1p(random.nextDouble() * Math.max(1, instances.getAsInt() - 1)));
    }

    private long elapsedMillis() {
        return nowMillis.getAsLong() - startedAtMillis;
    }
}
