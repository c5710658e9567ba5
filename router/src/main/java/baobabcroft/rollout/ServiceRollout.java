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
 * One service's roll-out as an instance sees it, and the instance's part in moving it on.
 *
 * <p>No instance leads: each that sees the next stage due writes it after a random pause, under the condition that the
 * record is as it saw it. The first write wins; the others see it and stay silent. Not thread-safe.
 */
final class ServiceRollout {
    /** Scale of the pause before a stage is written, in milliseconds: longer than a write and its notice. */
    private static final double STAGE_SCALE_MILLIS = 550;
    /** Scale of the pause before a bad version is stopped, in milliseconds: a conflict costs less than a failure. */
    private static final double REVERT_SCALE_MILLIS = 140;
    /** Pause after a write whose outcome is not known, in milliseconds: the store's answers are seconds late. */
    private static final long RETRY_MILLIS = 700;
    /** An answer is slow when it takes as many times as long as the old version's do on average. */
    private static final double SLOW_FACTOR = 4;
    /** Weight of a new answer in the average. */
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

    /** Returns the stage to act on: what is shared, or less if this instance has seen the version fail. */
    RolloutStage stage() {
        judgeOthers();
        RolloutStage shared = record.map(RolloutRecord::stage).orElse(RolloutStage.HOLDING);
        return bad && !shared.isFinal() ? RolloutStage.REVERTED : shared;
    }

    /** Takes the shared record. */
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

    /** An instance that has just started takes the roll-out's age from the record, unless the clocks disagree. */
    private void resumeClock(RolloutRecord first) {
        long ageMillis = epochMillis.getAsLong() - first.startedAtEpochMillis();
        if (ageMillis > elapsedMillis() && ageMillis <= order.durationMillis()) {
            startedAtMillis = nowMillis.getAsLong() - ageMillis;
        }
    }

    /** Takes what operators were told last. */
    void announcedSeen(Optional<RolloutStage> stage, long revision) {
        if (revision > announcedRevision) {
            announcedRevision = revision;
            announced = stage;
        }
    }

    /** Takes another instance's counts. */
    void heard(String instance, RolloutCounts counts) {
        if (counts.orderRevision() == order.revision()) {
            RolloutCounts before = othersTarget.put(instance, counts);
            othersChanged |= !counts.equals(before);
        }
    }

    /** Weighs what others told when it matters, as they tell it many times a second. */
    private void judgeOthers() {
        if (othersChanged) {
            othersChanged = false;
            judge();
        }
    }

    /** Counts an answer of this instance's. */
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

    /** Does what is due. Called several times a second while the roll-out is under way. */
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

    /** Returns whether nothing is left to do. */
    boolean isSettled() {
        return ownTarget.isEmpty()
                && record.isPresent()
                && record.get().stage().isFinal()
                && announced.equals(Optional.of(record.get().stage()));
    }

    /** Returns the stage as operators are told it: all but the last ones look alike. */
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
            writer.publishCounts(order.service(), new RolloutCounts(order.revision(), ImmutableMap.copyOf(ownTarget)));
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
            // After a conflict the watch brings what another instance wrote.
        });
    }

    private void announceWhenDue(long now) {
        if (now < announceAtMillis) {
            return;
        }
        writing = true;
        RolloutRecord current = record.get();
        writer.writeStatus(order.service(), announcedRevision, current, result -> {
            writing = false;
            announceAtMillis = nowMillis.getAsLong() + RETRY_MILLIS;
            if (result instanceof WriteResult.Done done) {
                announcedSeen(Optional.of(told(current.stage())), done.revision());
            }
        });
    }

    /**
     * Returns a random pause after which a few instances of a fleet of any size are the first, and the many are late
     * enough to hear of them: the number whose pause has passed grows exponentially, by e in a scale.
     */
    private long pause(double scaleMillis) {
        return (long) (scaleMillis * Math.log1p(random.nextDouble() * Math.max(1, instances.getAsInt() - 1)));
    }

    private long elapsedMillis() {
        return nowMillis.getAsLong() - startedAtMillis;
    }
}
