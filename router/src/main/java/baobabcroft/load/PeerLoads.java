package baobabcroft.load;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * What other instances have under way at endpoints: of each instance of the own failure domain, and of each other
 * failure domain as a whole. Forgets those that fall silent. Not thread-safe.
 */
public final class PeerLoads {
    /** Silence after which a load counts no more, in milliseconds: several notices lost in a row. */
    private static final long SILENCE_MILLIS = 3_000;

    /** Reading time that matters elsewhere, in milliseconds: half of the way between regions. */
    private static final double ELSEWHERE_UNREAD_MILLIS = 60;
    /** Requests under way that matter elsewhere: as much as that time, at a service of a few slots. */
    private static final int ELSEWHERE_IN_FLIGHT = 2;

    private final LongSupplier nowMillis;
    private final Map<String, Told> byInstance = new HashMap<>();
    private final Map<String, Told> byFailureDomain = new HashMap<>();
    private long lastToldAtMillis;

    /**
     * What is under way at one endpoint, and how it did of late.
     *
     * @param inFlight requests under way
     * @param unreadMillis expected time to read the prompts that wait there, in milliseconds
     * @param failureRate share of failures of late, from zero to one
     * @param lateMillis by how much first outputs came later than expected of late, in milliseconds
     */
    public record Load(int inFlight, double unreadMillis, double failureRate, double lateMillis) {
        /** No load. */
        public static final Load NONE = new Load(0, 0);

        /** Creates the load of an endpoint that did well. */
        public Load(int inFlight, double unreadMillis) {
            this(inFlight, unreadMillis, 0, 0);
        }

        private boolean mattersElsewhere() {
            return inFlight >= ELSEWHERE_IN_FLIGHT
                    || unreadMillis >= ELSEWHERE_UNREAD_MILLIS
                    || failureRate > 0
                    || lateMillis > 0;
        }

        /**
         * Returns what two tellers together say: the sum of what is under way, and the worse of how it did. An endpoint
         * may fail some callers only, so that one teller's word is enough to be careful.
         *
         * @param other another load
         * @return the sum
         */
        public Load plus(Load other) {
            return new Load(
                    inFlight + other.inFlight,
                    unreadMillis + other.unreadMillis,
                    Math.max(failureRate, other.failureRate),
                    Math.max(lateMillis, other.lateMillis));
        }
    }

    private record Told(long sequence, long atMillis, ImmutableMap<EndpointKey, Load> loads) {}

    private PeerLoads(LongSupplier nowMillis) {
        this.nowMillis = nowMillis;
        this.lastToldAtMillis = nowMillis.getAsLong();
    }

    /**
     * Returns loads of which nobody has told yet.
     *
     * @param nowMillis steady clock, in milliseconds
     * @return the loads
     */
    public static PeerLoads create(LongSupplier nowMillis) {
        return new PeerLoads(checkNotNull(nowMillis));
    }

    /**
     * Takes an instance's loads unless newer ones are known.
     *
     * @param instance the instance
     * @param sequence grows with each notice of the instance
     * @param loads its loads by endpoint
     */
    public void updateInstance(String instance, long sequence, Map<EndpointKey, Load> loads) {
        lastToldAtMillis = nowMillis.getAsLong();
        Told last = byInstance.get(instance);
        if (last == null || last.sequence() < sequence) {
            byInstance.put(instance, new Told(sequence, lastToldAtMillis, ImmutableMap.copyOf(loads)));
        }
    }

    /**
     * Takes the loads of a whole failure domain. Any of its instances may tell them; the last one is believed.
     *
     * @param failureDomain the failure domain
     * @param loads the sum of its instances' loads by endpoint
     */
    public void updateFailureDomain(String failureDomain, Map<EndpointKey, Load> loads) {
        lastToldAtMillis = nowMillis.getAsLong();
        byFailureDomain.put(failureDomain, new Told(0, lastToldAtMillis, ImmutableMap.copyOf(loads)));
    }

    /**
     * Returns the loads of the own failure domain that would change a choice elsewhere.
     *
     * @param own this instance's loads
     * @return the sum of them and of the instances heard lately, by endpoint, without those that are too light to
     * matter
     */
    public ImmutableMap<EndpointKey, Load> ownDomainLoads(Map<EndpointKey, Load> own) {
        Map<EndpointKey, Load> sum = new HashMap<>(own);
        for (Told told : byInstance.values()) {
            if (isFresh(told)) {
                told.loads().forEach((endpoint, load) -> sum.merge(endpoint, load, Load::plus));
            }
        }
        return sum.entrySet().stream()
                .filter(entry -> entry.getValue().mattersElsewhere())
                .collect(ImmutableMap.toImmutableMap(Map.Entry::getKey, Map.Entry::getValue));
    }

    /**
     * Returns how long no instance has told anything.
     *
     * @return the age of what is known of other instances, in milliseconds
     */
    public long millisSinceLastUpdate() {
        return nowMillis.getAsLong() - lastToldAtMillis;
    }

    /**
     * Returns what the other instances have under way at an endpoint.
     *
     * @param endpoint the endpoint
     * @return the sum over the instances and failure domains heard lately
     */
    public Load loadOf(EndpointKey endpoint) {
        return sumAt(endpoint, byInstance).plus(sumAt(endpoint, byFailureDomain));
    }

    private Load sumAt(EndpointKey endpoint, Map<String, Told> tellers) {
        Load sum = Load.NONE;
        for (Told told : tellers.values()) {
            Load load = told.loads().get(endpoint);
            if (load != null && isFresh(told)) {
                sum = sum.plus(load);
            }
        }
        return sum;
    }

    private boolean isFresh(Told told) {
        return told.atMillis() >= nowMillis.getAsLong() - SILENCE_MILLIS;
    }
}
