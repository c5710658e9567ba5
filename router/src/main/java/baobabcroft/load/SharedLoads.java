package baobabcroft.load;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/** What other instances have under way at endpoints. Forgets instances that fall silent. Not thread-safe. */
public final class SharedLoads {
    /** Silence after which an instance's load counts no more, in milliseconds: several notices lost in a row. */
    private static final long SILENCE_MILLIS = 3_000;

    private final LongSupplier nowMillis;
    private final Map<String, Told> byInstance = new HashMap<>();

    /**
     * What an instance has under way at one endpoint.
     *
     * @param inFlight requests under way
     * @param unreadMillis expected time to read the prompts that wait there, in milliseconds
     */
    public record Load(int inFlight, double unreadMillis) {
        /** No load. */
        public static final Load NONE = new Load(0, 0);

        /**
         * Returns the sum of two loads.
         *
         * @param other another load
         * @return the sum
         */
        public Load plus(Load other) {
            return new Load(inFlight + other.inFlight, unreadMillis + other.unreadMillis);
        }
    }

    private record Told(long sequence, long atMillis, ImmutableMap<String, Load> loads) {}

    private SharedLoads(LongSupplier nowMillis) {
        this.nowMillis = nowMillis;
    }

    /**
     * Returns loads of which nobody has told yet.
     *
     * @param nowMillis steady clock, in milliseconds
     * @return the loads
     */
    public static SharedLoads create(LongSupplier nowMillis) {
        return new SharedLoads(checkNotNull(nowMillis));
    }

    /**
     * Takes an instance's loads unless newer ones are known.
     *
     * @param instance the instance
     * @param sequence grows with each notice of the instance
     * @param loads its loads by endpoint
     */
    public void told(String instance, long sequence, Map<String, Load> loads) {
        Told last = byInstance.get(instance);
        if (last == null || last.sequence() < sequence) {
            byInstance.put(instance, new Told(sequence, nowMillis.getAsLong(), ImmutableMap.copyOf(loads)));
        }
    }

    /**
     * Returns what the other instances have under way at an endpoint.
     *
     * @param endpointId the endpoint
     * @return the sum over the instances heard lately
     */
    public Load at(String endpointId) {
        long since = nowMillis.getAsLong() - SILENCE_MILLIS;
        Load sum = Load.NONE;
        for (Told told : byInstance.values()) {
            if (told.atMillis() >= since) {
                sum = sum.plus(told.loads().getOrDefault(endpointId, Load.NONE));
            }
        }
        return sum;
    }
}
