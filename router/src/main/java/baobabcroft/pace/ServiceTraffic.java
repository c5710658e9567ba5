package baobabcroft.pace;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.LongSupplier;

/** How many requests this instance sends to the endpoints of each service. Not thread-safe. */
final class ServiceTraffic {
    /** Time constant of the average, in milliseconds: longer than a period of the traffic of a few seconds. */
    private static final double TIME_CONSTANT_MILLIS = 10_000;
    /** Time from which the average of a service is known, in milliseconds. */
    private static final long MIN_OBSERVED_MILLIS = 5_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final LongSupplier nowMillis;
    private final Map<String, Average> byService = new HashMap<>();

    private static final class Average {
        private final long sinceMillis;
        private long updatedAtMillis;
        private double weight;

        private Average(long nowMillis) {
            this.sinceMillis = nowMillis;
            this.updatedAtMillis = nowMillis;
        }

        private void decay(long nowMillis) {
            weight *= Math.exp((updatedAtMillis - nowMillis) / TIME_CONSTANT_MILLIS);
            updatedAtMillis = nowMillis;
        }
    }

    ServiceTraffic(LongSupplier nowMillis) {
        this.nowMillis = nowMillis;
    }

    void onRequest(String service) {
        long now = nowMillis.getAsLong();
        Average average = byService.computeIfAbsent(service, name -> new Average(now));
        average.decay(now);
        average.weight++;
    }

    /** Returns the requests a second to a service; empty if it was observed for too short a time. */
    OptionalDouble perSecond(String service) {
        Average average = byService.get(service);
        long now = nowMillis.getAsLong();
        if (average == null || now - average.sinceMillis < MIN_OBSERVED_MILLIS) {
            return OptionalDouble.empty();
        }
        average.decay(now);
        double observed = 1 - Math.exp((average.sinceMillis - now) / TIME_CONSTANT_MILLIS);
        return OptionalDouble.of(average.weight * MILLIS_PER_SECOND / (TIME_CONSTANT_MILLIS * observed));
    }
}
