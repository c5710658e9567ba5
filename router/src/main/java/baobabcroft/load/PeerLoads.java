package baobabcroft.load;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.capacity.TokenMemory;
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
    /**
     * Minimum token memory reported. What five other failure domains hold without reporting it is about what {@link
     * TokenMemory#fits} keeps free of the memory of an engine.
     */
    private static final long MIN_REPORTED_HELD_TOKENS = 4_000;

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
     * @param heldTokens token memory that the requests in flight hold or are going to hold; 0 if there are none or the
     *     instance reports no memory
     */
    public record Load(
            int inFlight, double prefillBacklogMillis, double failureRate, double lateMillis, long heldTokens) {
        /** No load and no recent failures or delays. */
        public static final Load NONE = new Load(0, 0);

        /** Creates the load of an endpoint without recent failures or delays. */
        public Load(int inFlight, double prefillBacklogMillis) {
            this(inFlight, prefillBacklogMillis, 0, 0);
        }

        /** Creates the load of an endpoint without token memory. */
        public Load(int inFlight, double prefillBacklogMillis, double failureRate, double lateMillis) {
            this(inFlight, prefillBacklogMillis, failureRate, lateMillis, 0);
        }

        /** Estimates the memory by the number of requests if an instance of a former build reports none. */
        private long estimatedHeldTokens(long tokensPerRequest) {
            return heldTokens > 0 ? heldTokens : inFlight * tokensPerRequest;
        }

        private boolean isWorthReporting() {
            return inFlight >= MIN_REPORTED_IN_FLIGHT
                    || prefillBacklogMillis >= MIN_REPORTED_PREFILL_BACKLOG_MILLIS
                    || heldTokens >= MIN_REPORTED_HELD_TOKENS
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
                    Math.max(lateMillis, other.lateMillis),
                    heldTokens + other.heldTokens);
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

    /**
     * Returns the token memory that requests of the other instances of this failure domain hold at an endpoint, with a
     * margin for those sent since their last notices. A part that requests of several instances share counts for each
     * of them.
     *
     * @param endpoint key of the endpoint
     * @param tokensPerRequest memory of a request of an instance that reports none
     * @return the tokens
     */
    public long ownDomainHeldTokens(EndpointKey endpoint, long tokensPerRequest) {
        return heldAt(endpoint, tokensPerRequest, byInstance);
    }

    /**
     * Returns the same for the other failure domains.
     *
     * @param endpoint key of the endpoint
     * @param tokensPerRequest memory of a request of a failure domain that reports none
     * @return the tokens
     */
    public long otherDomainsHeldTokens(EndpointKey endpoint, long tokensPerRequest) {
        return heldAt(endpoint, tokensPerRequest, byFailureDomain);
    }

    private long heldAt(EndpointKey endpoint, long tokensPerRequest, Map<String, LoadUpdate> updates) {
        long now = nowMillis.getAsLong();
        long tokens = 0;
        for (LoadUpdate update : updates.values()) {
            Load load = update.loads().get(endpoint);
            if (load != null && isFresh(update)) {
                tokens += TokenMemory.projected(
                        load.estimatedHeldTokens(tokensPerRequest), now - update.receivedAtMillis());
            }
        }
        return tokens;
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
