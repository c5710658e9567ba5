package baobabcroft.rollout;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.directory.EndpointEntry;
import baobabcroft.relay.AttemptMonitor;
import baobabcroft.relay.AttemptResult;
import baobabcroft.relay.VersionSelector;
import baobabcroft.replica.StoreRevision;
import baobabcroft.routing.Route;
import com.google.common.collect.ArrayListMultimap;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ListMultimap;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The rollouts of all services: selects the version for each request and counts the outcomes of the versions.
 *
 * <p>During a rollout, a session's version depends only on its name, the order and the stage, so instances agree on it
 * without communication. Not thread-safe.
 */
public final class FleetRollouts implements VersionSelector {
    /** Fraction of the contract's exposure that the new version gets in the stage {@link RolloutStage#TRYING}. */
    private static final double TRYING_EXPOSURE_FRACTION = 0.9;
    /** Delay before a new version without an order is used, in milliseconds: longer than an order takes to arrive. */
    private static final long NEW_VERSION_DELAY_MILLIS = 2_000;

    /** Monitor of attempts outside rollouts. */
    private static final AttemptMonitor UNOBSERVED = new AttemptMonitor() {
        @Override
        public void firstOutputReceived() {}

        @Override
        public void ended(AttemptResult result) {}
    };

    private final RolloutWriter writer;
    private final LongSupplier nowMillis;
    private final LongSupplier epochMillis;
    private final UniformRandomProvider random;
    private final double tryingShare;
    private final IntSupplier instances;
    private final Map<String, ServiceRollout> rollouts = new HashMap<>();
    private final Map<String, Map<String, Long>> firstSeenMillis = new HashMap<>();
    private final ListMultimap<String, RolloutOrder> superseded = ArrayListMultimap.create();
    private final Map<String, LastRecord> lastRecords = new HashMap<>();
    private final Map<String, LastStatus> lastStatuses = new HashMap<>();

    /** The last record received, kept in case its order is received later. */
    private record LastRecord(RolloutRecord record, StoreRevision revision) {}

    /** The last status received, kept in case its order is received later. */
    private record LastStatus(Optional<RolloutStage> stage, String target, StoreRevision revision) {}

    /**
     * Creates the state of an instance that has received no order.
     *
     * @param writer writes the shared state of rollouts
     * @param nowMillis monotonic clock, in milliseconds
     * @param epochMillis wall clock, in milliseconds since the epoch
     * @param random source of the random delays that spread the writes of instances
     * @param exposureShare limit on the share of a service's requests that a bad version may get, from zero to one
     * @param instances supplies the number of known instances, including this one
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
        this.tryingShare = exposureShare * TRYING_EXPOSURE_FRACTION;
    }

    /**
     * Starts the rollout of an order, unless it is known.
     *
     * <p>An order with the content of a known one is the same order, written again, unless that one's rollout has ended
     * in the same era of the store: after the store has returned from a copy, operators write their orders again, and
     * an ended rollout must not start a second time. A superseded order that reappears in a later era comes from the
     * copy and is ignored.
     *
     * @param order order read from the store
     */
    public void onOrder(RolloutOrder order) {
        ServiceRollout present = rollouts.get(order.service());
        if (present != null && !isNew(order, present)) {
            return;
        }
        ServiceRollout started = new ServiceRollout(order, writer, nowMillis, epochMillis, random, instances);
        if (present != null) {
            superseded.put(order.service(), present.order());
            started.excludeReverted(present.allRevertedVersions());
            started.ignoreRecordsUpTo(present.order().revision());
        }
        rollouts.put(order.service(), started);
        Optional.ofNullable(lastRecords.get(order.service()))
                .ifPresent(last -> onRecord(order.service(), last.record(), last.revision()));
        Optional.ofNullable(lastStatuses.get(order.service()))
                .ifPresent(last -> onStatus(order.service(), last.stage(), last.target(), last.revision()));
    }

    private boolean isNew(RolloutOrder order, ServiceRollout present) {
        if (!order.revision().isAfter(present.order().revision())) {
            return false;
        }
        boolean laterEra = order.revision().era() > present.order().revision().era();
        if (order.hasSameContent(present.order())) {
            return !laterEra && present.stage().isFinal();
        }
        return superseded.get(order.service()).stream()
                .noneMatch(former -> order.hasSameContent(former)
                        && order.revision().era() > former.revision().era());
    }

    /**
     * Handles the return of the store in a later era. What is known stays in force; what the store lacks is written
     * again. To be called before the contents of the new era are reported.
     *
     * @param era the new era
     */
    public void onEraStarted(long era) {
        lastRecords.clear();
        lastStatuses.clear();
        rollouts.values().forEach(rollout -> rollout.onEraStarted(era));
    }

    /**
     * Handles the stored record of a rollout.
     *
     * @param service name of the service
     * @param record record read from the store
     * @param revision revision of the record in the store
     */
    public void onRecord(String service, RolloutRecord record, StoreRevision revision) {
        lastRecords.put(service, new LastRecord(record, revision));
        Optional.ofNullable(rollouts.get(service)).ifPresent(rollout -> rollout.onRecord(record, revision));
    }

    /**
     * Handles the stored status of a rollout.
     *
     * @param service name of the service
     * @param stage stage in the status; {@link RolloutStage#HOLDING} for all stages that are not final; empty if the
     *     status is unreadable
     * @param target version that the status is about
     * @param revision revision of the status in the store
     */
    public void onStatus(String service, Optional<RolloutStage> stage, String target, StoreRevision revision) {
        lastStatuses.put(service, new LastStatus(stage, target, revision));
        Optional.ofNullable(rollouts.get(service))
                .ifPresent(rollout -> rollout.onStatus(
                        stage.filter(unused -> target.equals(rollout.order().target())), revision));
    }

    /**
     * Handles the counts of another instance, or the sum over another failure domain.
     *
     * @param service name of the service
     * @param instance name of the instance, or of the failure domain with a prefix that keeps the two apart
     * @param counts cumulative counts, which replace the earlier ones of the same name
     */
    public void onCounts(String service, String instance, RolloutCounts counts) {
        Optional.ofNullable(rollouts.get(service)).ifPresent(rollout -> rollout.onCounts(instance, counts));
    }

    /** Advances all rollouts that have not ended. To be called several times a second. */
    public void tick() {
        rollouts.values().stream().filter(rollout -> !rollout.isSettled()).forEach(ServiceRollout::tick);
    }

    @Override
    public ImmutableList<EndpointEntry> selectEndpoints(
            String service, ImmutableList<EndpointEntry> open, Optional<String> session, String requestId) {
        ServiceRollout rollout = rollouts.get(service);
        if (rollout == null) {
            return withoutNewVersions(service, open);
        }
        String targetVersion = rollout.order().target();
        ImmutableList<EndpointEntry> target =
                filter(open, entry -> entry.version().equals(targetVersion));
        ImmutableList<EndpointEntry> base = filter(
                open,
                entry -> !entry.version().equals(targetVersion)
                        && !rollout.revertedVersions().contains(entry.version()));
        double targetShare = rollout.targetShare(tryingShare);
        boolean usesTarget = targetShare > 0
                && (targetShare >= 1 || hashFraction(session.orElse(requestId), rollout.order()) < targetShare);
        if (usesTarget) {
            return target.isEmpty() ? base : target;
        }
        return base.isEmpty() && rollout.stage() != RolloutStage.REVERTED ? target : base;
    }

    private static double hashFraction(String key, RolloutOrder order) {
        int hash = Hashing.murmur3_32_fixed()
                .hashString(key + '/' + order.revision(), StandardCharsets.UTF_8)
                .asInt();
        return Integer.toUnsignedLong(hash) / (double) (1L << Integer.SIZE);
    }

    private static ImmutableList<EndpointEntry> filter(
            ImmutableList<EndpointEntry> open, Predicate<EndpointEntry> condition) {
        return open.stream().filter(condition).collect(ImmutableList.toImmutableList());
    }

    /**
     * Returns the endpoints without those of versions that have just appeared, as their order may still arrive; all
     * endpoints if none would be left.
     */
    private ImmutableList<EndpointEntry> withoutNewVersions(String service, ImmutableList<EndpointEntry> open) {
        Map<String, Long> since = firstSeenMillis.computeIfAbsent(service, unused -> new HashMap<>());
        long now = nowMillis.getAsLong();
        boolean first = since.isEmpty();
        for (EndpointEntry entry : open) {
            since.putIfAbsent(entry.version(), first ? now - NEW_VERSION_DELAY_MILLIS : now);
        }
        ImmutableList<EndpointEntry> established =
                filter(open, entry -> now - since.get(entry.version()) >= NEW_VERSION_DELAY_MILLIS);
        return established.isEmpty() ? open : established;
    }

    @Override
    public AttemptMonitor monitorAttempt(EndpointEntry endpoint, Route route) {
        ServiceRollout rollout = rollouts.get(endpoint.service());
        return rollout == null || rollout.stage().isFinal()
                ? UNOBSERVED
                : rollout.monitorAttempt(endpoint.version(), route);
    }
}
