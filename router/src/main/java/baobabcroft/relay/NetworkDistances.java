package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.HashMap;
import java.util.Map;

/**
 * Round trips from this instance to the failure domains, measured from connects, and the price of traffic to them. Not
 * thread-safe.
 */
final class NetworkDistances {
    /** Round trip between failure domains of one region before any measurement, in milliseconds. */
    private static final double SAME_REGION_ROUND_TRIP_MILLIS = 3;
    /** Round trip between regions before any measurement, in milliseconds. */
    private static final double OTHER_REGION_ROUND_TRIP_MILLIS = 60;
    /** Delay that a caller would rather accept than paid traffic between domains of one region, in milliseconds. */
    private static final double SAME_REGION_PRICE_MILLIS = 12;
    /** Delay that a caller would rather accept than paid traffic between regions, in milliseconds. */
    private static final double OTHER_REGION_PRICE_MILLIS = 60;
    /** Largest connect time that counts, in milliseconds: a longer one has lost a packet. */
    private static final double MAX_CONNECT_MILLIS = 500;
    /** Weight of a connect that took less than the estimate: the true round trip is close to the shortest ones. */
    private static final double SHORTER_SMOOTHING = 0.5;
    /** Weight of a connect that took longer, by a busy processor on either side or by a longer way. */
    private static final double LONGER_SMOOTHING = 0.05;

    private final String failureDomain;
    private final Map<String, String> regions;
    private final Map<String, Distance> distances = new HashMap<>();

    /** Distance to one failure domain. */
    private static final class Distance {
        private final boolean sameRegion;
        private final double priceMillis;
        private double roundTripMillis;

        private Distance(boolean sameRegion, double priceMillis, double roundTripMillis) {
            this.sameRegion = sameRegion;
            this.priceMillis = priceMillis;
            this.roundTripMillis = roundTripMillis;
        }
    }

    /**
     * Creates distances without measurements.
     *
     * @param failureDomain the failure domain of this instance
     * @param regions region by failure domain; a failure domain that is not listed is a region of its own
     */
    NetworkDistances(String failureDomain, Map<String, String> regions) {
        this.failureDomain = checkNotNull(failureDomain);
        this.regions = Map.copyOf(regions);
    }

    /** Returns the round trip to a failure domain with the price of traffic to it, in milliseconds. */
    double costMillis(String domain) {
        Distance distance = distanceTo(domain);
        return distance.roundTripMillis + distance.priceMillis;
    }

    /** Returns the round trip to a failure domain, in milliseconds. */
    double roundTripMillis(String domain) {
        return distanceTo(domain).roundTripMillis;
    }

    /** Returns whether a failure domain is in the region of this instance. */
    boolean isSameRegion(String domain) {
        return distanceTo(domain).sameRegion;
    }

    /** Returns the expected cost of the way to another region, in milliseconds. */
    double otherRegionCostMillis() {
        double least = Double.MAX_VALUE;
        for (Distance distance : distances.values()) {
            if (!distance.sameRegion) {
                least = Math.min(least, distance.roundTripMillis + distance.priceMillis);
            }
        }
        return least == Double.MAX_VALUE ? OTHER_REGION_ROUND_TRIP_MILLIS + OTHER_REGION_PRICE_MILLIS : least;
    }

    /** Adds the time that a connect to an endpoint in a failure domain took, in milliseconds. */
    void onConnected(String domain, double connectMillis) {
        if (connectMillis >= 0 && connectMillis <= MAX_CONNECT_MILLIS) {
            Distance distance = distanceTo(domain);
            double step = connectMillis - distance.roundTripMillis;
            distance.roundTripMillis += (step < 0 ? SHORTER_SMOOTHING : LONGER_SMOOTHING) * step;
        }
    }

    private Distance distanceTo(String domain) {
        Distance distance = distances.get(domain);
        if (distance == null) {
            distance = newDistance(domain);
            distances.put(domain, distance);
        }
        return distance;
    }

    private Distance newDistance(String domain) {
        if (domain.equals(failureDomain)) {
            return new Distance(true, 0, 0);
        }
        String here = regions.getOrDefault(failureDomain, failureDomain);
        return here.equals(regions.getOrDefault(domain, domain))
                ? new Distance(true, SAME_REGION_PRICE_MILLIS, SAME_REGION_ROUND_TRIP_MILLIS)
                : new Distance(false, OTHER_REGION_PRICE_MILLIS, OTHER_REGION_ROUND_TRIP_MILLIS);
    }
}
