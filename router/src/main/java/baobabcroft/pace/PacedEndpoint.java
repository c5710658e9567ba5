package baobabcroft.pace;

import baobabcroft.directory.EndpointEntry;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;

/** What this instance knows of an endpoint that is or may be cold, and its share of the pace. Not thread-safe. */
final class PacedEndpoint {
    private static final long NEVER = Long.MIN_VALUE;
    /** Time after which a request that waits for its connection no longer keeps others from being sent. */
    private static final long MAX_PENDING_MILLIS = 1_000;

    private final PaceFleet fleet;
    private final double phase;
    private final long pacedSinceMillis;
    private EndpointEntry entry;
    private PaceReason reason;
    private long coldUntilMillis = NEVER;
    private long doubtfulSinceMillis = NEVER;
    private long doubtfulUntilMillis = NEVER;
    private PaceReason doubt = PaceReason.FAILED;

    private long sentAtMillis = NEVER;
    private long pendingSinceMillis = NEVER;
    private int pending;
    private int sent;

    private PacePlan plan = PacePlan.of(1, 1, 1);
    private double plannedRate;
    private double plannedBound;
    private Optional<ImmutableSet<String>> plannedNames = Optional.empty();
    private ImmutableList<String> holders = ImmutableList.of();

    /**
     * Creates the state of an endpoint that is not paced yet.
     *
     * @param phase part of the time between two requests, from 0 to 1, that passes before the first one; it differs
     *     between instances, so that their first requests do not arrive together
     */
    PacedEndpoint(PaceFleet fleet, EndpointEntry entry, PaceReason reason, long nowMillis, double phase) {
        this.fleet = fleet;
        this.entry = entry;
        this.reason = reason;
        this.pacedSinceMillis = nowMillis;
        this.phase = phase;
    }

    EndpointEntry entry() {
        return entry;
    }

    void setEntry(EndpointEntry newest) {
        entry = newest;
    }

    PaceReason reason() {
        return reason;
    }

    long pacedSinceMillis() {
        return pacedSinceMillis;
    }

    int sent() {
        return sent;
    }

    /** Sets until when the endpoint is cold. */
    void setCold(PaceReason newReason, long untilMillis) {
        reason = newReason;
        coldUntilMillis = untilMillis;
    }

    /** Treats the endpoint as cold until an entry is received after the given time. */
    void doubt(PaceReason newDoubt, long nowMillis, long untilMillis) {
        doubt = doubtfulUntilMillis > untilMillis ? doubt : newDoubt;
        doubtfulSinceMillis = nowMillis;
        doubtfulUntilMillis = Math.max(doubtfulUntilMillis, untilMillis);
    }

    /** Takes in that an entry was received, which ends doubts that are older than any entry on its way. */
    void onEntry(long nowMillis) {
        if (nowMillis >= doubtfulUntilMillis) {
            doubtfulSinceMillis = NEVER;
            doubtfulUntilMillis = NEVER;
        }
    }

    boolean isCold(long nowMillis) {
        return nowMillis < coldUntilMillis;
    }

    boolean isDoubtful() {
        return doubtfulSinceMillis != NEVER;
    }

    /** Returns whether the endpoint's failures alone are the reason for its pace. */
    boolean isDoubtfulByFailures() {
        return isDoubtful() && doubt == PaceReason.FAILED;
    }

    long doubtfulSinceMillis() {
        return doubtfulSinceMillis;
    }

    /** Updates the plan to the known instances, the rate and the bound. */
    void plan(double ratePerSecond, double boundPerSecond) {
        ImmutableSet<String> names = fleet.names();
        if (plannedNames.isPresent()
                && plannedNames.get().equals(names)
                && plannedRate == ratePerSecond
                && plannedBound == boundPerSecond) {
            return;
        }
        ImmutableList<String> ranked = fleet.ranked(entry);
        plannedNames = Optional.of(names);
        plannedRate = ratePerSecond;
        plannedBound = boundPerSecond;
        plan = PacePlan.of(ratePerSecond, boundPerSecond, ranked.size());
        holders = ranked.subList(0, Math.min(plan.holders(), ranked.size()));
    }

    PacePlan plan() {
        return plan;
    }

    /** Returns the instances that hold a share according to the last plan. */
    ImmutableList<String> holders() {
        return holders;
    }

    boolean holdsShare() {
        return holders.contains(fleet.self());
    }

    /** Returns whether a request may be chosen for the endpoint now; one at a time, as its sending may be delayed. */
    boolean hasRoom(long nowMillis) {
        boolean waiting = pending > 0 && nowMillis - pendingSinceMillis < MAX_PENDING_MILLIS;
        return !waiting && maySend(nowMillis);
    }

    /** Returns whether a request may be written now. */
    boolean maySend(long nowMillis) {
        boolean spaced = sentAtMillis == NEVER || nowMillis - sentAtMillis >= plan.spacingMillis();
        boolean begun = nowMillis - pacedSinceMillis >= phase * plan.spacingMillis();
        return holdsShare() && spaced && begun;
    }

    void addPending(long nowMillis) {
        pending++;
        pendingSinceMillis = nowMillis;
    }

    void removePending() {
        pending = Math.max(0, pending - 1);
    }

    void onSent(long nowMillis) {
        sentAtMillis = nowMillis;
        sent++;
    }
}
