package baobabcroft.soak;

import com.google.common.collect.ImmutableSet;

/**
 * One disturbance.
 *
 * @param kind what happens
 * @param atMillis when it begins, in milliseconds since the start of traffic
 * @param forMillis how long it lasts, in milliseconds
 * @param instances numbers of the instances that it concerns; empty if it concerns none in particular
 * @param endpoints numbers of the endpoints that it concerns
 * @param strength how strong it is, from 0 to 1
 */
record Fault(
        FaultKind kind,
        long atMillis,
        long forMillis,
        ImmutableSet<Integer> instances,
        ImmutableSet<Integer> endpoints,
        double strength) {
    long endMillis() {
        return atMillis + forMillis;
    }

    /** Returns whether it lasts at any time of an interval. */
    boolean overlaps(long fromMillis, long untilMillis) {
        return atMillis < untilMillis && endMillis() > fromMillis;
    }

    @Override
    public String toString() {
        String where = instances.isEmpty() ? "endpoints " + endpoints : "instances " + instances;
        return String.format("%7.3f s to %7.3f s  %s %s", atMillis / 1e3, endMillis() / 1e3, kind, where);
    }
}
