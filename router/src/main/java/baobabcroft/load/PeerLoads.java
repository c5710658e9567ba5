package baobabcroft.load;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Load that other instances put on the endpoints: one entry for each instance of this failure domain, and one sum for
 * each other failure domain. Sources without recent updates are ignored. Not thread-safe.
 */
public final class PeerLoads {
    /** Age above which a load is ignored; tolerates several lost notices in a row. */
    private static final long MAX_AGE_MILLIS = 3_000;

    /** Minimum prefill backlog reported to other failure domains: half of the delay that another region adds. */
    private static final double MIN_REPORTED_PREFILL_BACKLOG_MILLIS = 60;
    /** Minimum number of requests in flight reported: with few slots per endpoint, they cause about the same delay. */
    private static final int MIN_REPORTED_IN_FLIGHT = 2;

    private final LongSupplier nowMillis;
    private final Map<String, LoadUpdate> byInstance = new HashMap<>();
    private final Map<String, LoadUpdate> byFailureDomain = new HashMap<>();
    private long lastUpdateAtMillis;

    /**
     * Load of one endpoint and its recent performance.
     *
     * @param inFlight requests in flight
     * @param prefillBacklogMillis expected time to process the prompts that wait at the endpoint, in milliseconds
     * @param failureRate recent share of failed requests, from zero to one
     * @param lateMillis recent delay of first outputs beyond the expected time, in milliseconds
     */
    public record Load(int inFlight, double prefillBacklogMillis, double failureRate, double lateMillis) {
        /** No load and no recent failures or delays. */
        public static final Load NONE = new Load(0, 0);

        /** Creates the load of an endpoint without recent failures or delays. */
        public Load(int inFlight, double prefillBacklogMillis) {
            this(inFlight, prefillBacklogMillis, 0, 0);
        }

        private boolean isWorthReporting() {
            return inFlight >= MIN_REPORTED_IN_FLIGHT
                    || prefillBacklogMillis >= MIN_REPORTED_PREFILL_BACKLOG_MILLIS
                    || failureRate > 0
                    || lateMillis > 0;
        }

        /**
         * Returns the combined load of two sources: the sums of requests and prefill times, and the greater failure
         * rate and delay. The greater one counts because an endpoint may fail for some of the instances only.
         *
         * @param other load of the same endpoint by another source
         * @return the combined load
         */
        public Load plus(Load other) {
            return new Load(
                    inFlight + other.inFlight,
                    prefillBacklogMillis + other.prefillBacklogMillis,
                    Math.max(failureRate, other.failureRate),
                    Math.max(lateMillis, other.lateMillis));
        }
    }

    private record LoadUpdate(long sequence, long receivedAtMillis, ImmutableMap<EndpointKey, Load> loads) {}

    private PeerLoads(LongSupplier nowMillis) {
        this.nowMillis = nowMillis;
        this.lastUpdateAtMillis = nowMillis.getAsLong();
    }

    /**
     * Returns an instance without any loads.
     *
     * @param nowMillis monotonic clock, in milliseconds
     * @return the empty loads
     */
    public static PeerLoads create(LongSupplier nowMillis) {
        return new PeerLoads(checkNotNull(nowMillis));
    }

    /**
     * Replaces the loads of an instance of this failure domain, unless newer ones were received.
     *
     * @param instance name of the instance
     * @param sequence sequence number of the notice, which grows with each notice of the instance
     * @param loads all loads of the instance by endpoint
     */
    public void updateInstance(String instance, long sequence, Map<EndpointKey, Load> loads) {
        lastUpdateAtMillis = nowMillis.getAsLong();
        LoadUpdate last = byInstance.get(instance);
        if (last == null || last.sequence() < sequence) {
            byInstance.put(instance, new LoadUpdate(sequence, lastUpdateAtMillis, ImmutableMap.copyOf(loads)));
        }
    }

    /**
     * Replaces the loads of another failure domain. Any of its instances may report them; the latest report counts.
     *
     * @param failureDomain name of the failure domain
     * @param loads the sums over its instances by endpoint
     */
    public void updateFailureDomain(String failureDomain, Map<EndpointKey, Load> loads) {
        lastUpdateAtMillis = nowMillis.getAsLong();
        byFailureDomain.put(failureDomain, new LoadUpdate(0, lastUpdateAtMillis, ImmutableMap.copyOf(loads)));
    }

    /**
     * Returns the loads of this failure domain that are worth reporting to other failure domains.
     *
     * @param own loads of this instance by endpoint
     * @return the sums over this instance and those with recent updates, by endpoint, without loads that are too small
     *     to affect load balancing in other failure domains
     */
    public ImmutableMap<EndpointKey, Load> ownDomainLoads(Map<EndpointKey, Load> own) {
        Map<EndpointKey, Load> sum = new HashMap<>(own);
        for (LoadUpdate update : byInstance.values()) {
            if (isFresh(update)) {
                update.loads().forEach((endpoint, load) -> sum.merge(endpoint, load, Load::plus));
            }
        }
        return sum.entrySet().stream()
                .filter(entry -> entry.getValue().isWorthReporting())
                .collect(ImmutableMap.toImmutableMap(Map.Entry::getKey, Map.Entry::getValue));
    }

    /**
     * Returns the time since the last update from any other instance.
     *
     * @return the age of the newest update, in milliseconds; before the first one, the time since creation
     */
    public long millisSinceLastUpdate() {
        return nowMillis.getAsLong() - lastUpdateAtMillis;
    }

    /**
     * Returns the load that other instances put on an endpoint.
     *
     * @param endpoint key of the endpoint
     * @return the combined load of all instances and failure domains with recent updates
     */
    public Load loadOf(EndpointKey endpoint) {
        return sumAt(endpoint, byInstance).plus(sumAt(endpoint, byFailureDomain));
    }

    private Load sumAt(EndpointKey endpoint, Map<String, LoadUpdate> updates) {
        Load sum = Load.NONE;
        for (LoadUpdate update : updates.values()) {
            Load load = update.loads().get(endpoint);
            if (load != null && isFresh(update)) {
                sum = sum.plus(load);
            }
        }
        return sum;
    }

    private boolean isFresh(LoadUpdate update) {
        return update.receivedAtMillis() >= nowMillis.getAsLong() - MAX_AGE_MILLIS;
    }
}
