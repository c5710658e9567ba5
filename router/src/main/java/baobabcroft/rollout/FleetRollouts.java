package baobabcroft.rollout;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.directory.EndpointEntry;
import baobabcroft.relay.VersionSelector;
import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * All services' roll-outs: which version a request is given, and what the versions' answers were.
 *
 * <p>A session's version follows from its name and the stage alone, so all instances agree on it without a word. Not
 * thread-safe.
 */
public final class FleetRollouts implements VersionSelector {
    /** Share of the contract's exposure that is tried before the move. */
    private static final double TRIED_SHARE = 0.9;
    /** Time after which a version without an order counts as ordinary, in milliseconds: a notice takes less. */
    private static final long UNORDERED_MILLIS = 2_000;

    private final RolloutWriter writer;
    private final LongSupplier nowMillis;
    private final LongSupplier epochMillis;
    private final UniformRandomProvider random;
    private final double triedShare;
    private final IntSupplier instances;
    private final Map<String, ServiceRollout> rollouts = new HashMap<>();
    private final Map<String, Map<String, Long>> versionsSince = new HashMap<>();
    private final Map<String, Recorded> lastRecords = new HashMap<>();
    private final Map<String, Announced> lastAnnounced = new HashMap<>();

    /** A record as last seen, kept for an order that is seen later. */
    private record Recorded(RolloutRecord record, long revision) {}

    /** What operators were told last, kept for an order that is seen later. */
    private record Announced(Optional<RolloutStage> stage, String target, long revision) {}

    /**
     * Creates the state of an instance that has seen no order.
     *
     * @param writer writes what instances share
     * @param nowMillis steady clock, in milliseconds
     * @param epochMillis wall clock, in milliseconds since the epoch
     * @param random spreads the writes of all instances
     * @param exposureShare share of a service's requests that a bad version may get
     * @param instances how many instances there are, as far as is known
     */
    public FleetRollouts(
            RolloutWriter writer,
            LongSupplier nowMillis,
            LongSupplier epochMillis,
            UniformRandomProvider random,
            double exposureShare,
            IntSupplier instances) {
        this.writer = checkNotNull(writer);
        this.nowMillis = nowMillis;
        this.epochMillis = epochMillis;
        this.random = random;
        this.instances = checkNotNull(instances);
        this.triedShare = exposureShare * TRIED_SHARE;
    }

    /**
     * Takes an order; an order that is known already changes nothing.
     *
     * @param order the order
     */
    public void onOrder(RolloutOrder order) {
        ServiceRollout present = rollouts.get(order.service());
        if (present == null || present.order().revision() < order.revision()) {
            rollouts.put(order.service(), new ServiceRollout(order, writer, nowMillis, epochMillis, random, instances));
            Optional.ofNullable(lastRecords.get(order.service()))
                    .ifPresent(last -> onRecord(order.service(), last.record(), last.revision()));
            Optional.ofNullable(lastAnnounced.get(order.service()))
                    .ifPresent(last -> onStatus(order.service(), last.stage(), last.target(), last.revision()));
        }
    }

    /**
     * Takes the record that instances share.
     *
     * @param service name of the service
     * @param record the record
     * @param revision its revision
     */
    public void onRecord(String service, RolloutRecord record, long revision) {
        lastRecords.put(service, new Recorded(record, revision));
        Optional.ofNullable(rollouts.get(service)).ifPresent(rollout -> rollout.seen(record, revision));
    }

    /**
     * Takes what operators were told last.
     *
     * @param service name of the service
     * @param stage the stage; {@link RolloutStage#HOLDING} for all that are under way; empty if unreadable
     * @param target the version that it speaks of
     * @param revision its revision
     */
    public void onStatus(String service, Optional<RolloutStage> stage, String target, long revision) {
        lastAnnounced.put(service, new Announced(stage, target, revision));
        Optional.ofNullable(rollouts.get(service))
                .ifPresent(rollout -> rollout.announcedSeen(
                        stage.filter(unused -> target.equals(rollout.order().target())), revision));
    }

    /**
     * Takes the counts of another instance, or of another failure domain as a whole.
     *
     * @param service name of the service
     * @param instance name of the instance or of the failure domain, by a prefix of its own
     * @param counts its counts
     */
    public void onCounts(String service, String instance, RolloutCounts counts) {
        Optional.ofNullable(rollouts.get(service)).ifPresent(rollout -> rollout.heard(instance, counts));
    }

    /** Does what is due. Called several times a second. */
    public void tick() {
        rollouts.values().stream().filter(rollout -> !rollout.isSettled()).forEach(ServiceRollout::tick);
    }

    @Override
    public ImmutableList<EndpointEntry> selectEndpoints(
            String service, ImmutableList<EndpointEntry> open, Optional<String> session, String requestId) {
        ServiceRollout rollout = rollouts.get(service);
        if (rollout == null) {
            return established(service, open);
        }
        ImmutableList<EndpointEntry> target = only(open, rollout.order().target(), true);
        ImmutableList<EndpointEntry> base = only(open, rollout.order().target(), false);
        boolean wantsTarget =
                switch (rollout.stage()) {
                    case HOLDING, REVERTED -> false;
                    case TRYING -> draw(session.orElse(requestId), rollout.order()) < triedShare;
                    case MOVING, COMPLETE -> true;
                };
        if (wantsTarget) {
            return target.isEmpty() ? base : target;
        }
        return base.isEmpty() && rollout.stage() != RolloutStage.REVERTED ? target : base;
    }

    private static double draw(String key, RolloutOrder order) {
        int hash = Hashing.murmur3_32_fixed()
                .hashString(key + '/' + order.revision(), StandardCharsets.UTF_8)
                .asInt();
        return Integer.toUnsignedLong(hash) / (double) (1L << Integer.SIZE);
    }

    private static ImmutableList<EndpointEntry> only(ImmutableList<EndpointEntry> open, String version, boolean equal) {
        return open.stream()
                .filter(entry -> entry.version().equals(version) == equal)
                .collect(ImmutableList.toImmutableList());
    }

    /** Without an order, a version that has just appeared waits: its order may be on its way. */
    private ImmutableList<EndpointEntry> established(String service, ImmutableList<EndpointEntry> open) {
        Map<String, Long> since = versionsSince.computeIfAbsent(service, unused -> new HashMap<>());
        long now = nowMillis.getAsLong();
        boolean first = since.isEmpty();
        for (EndpointEntry entry : open) {
            since.putIfAbsent(entry.version(), first ? now - UNORDERED_MILLIS : now);
        }
        ImmutableList<EndpointEntry> settled = open.stream()
                .filter(entry -> now - since.get(entry.version()) >= UNORDERED_MILLIS)
                .collect(ImmutableList.toImmutableList());
        return settled.isEmpty() ? open : settled;
    }

    @Override
    public void recordOutcome(
            EndpointEntry endpoint, String route, Optional<String> session, boolean failed, long firstMillis) {
        ServiceRollout rollout = rollouts.get(endpoint.service());
        if (rollout != null && !rollout.stage().isFinal()) {
            rollout.answered(endpoint.version().equals(rollout.order().target()), route, failed, firstMillis);
        }
    }
}
