package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.function.LongSupplier;

/** Recent failures and delays of one endpoint as seen by this instance, which decay with time. Not thread-safe. */
final class RecentOutcomes {
    /** Time constant of the decay of failures and delays, in milliseconds. Shorter than the restart of an endpoint. */
    private static final double DECAY_TIME_CONSTANT_MILLIS = 4_000;
    /** Weight of a new outcome in the moving average of the failure rate. */
    private static final double FAILURE_SMOOTHING = 0.2;
    /** Recent own outcomes from which other instances' reports of failures and delays are ignored. */
    private static final double SUFFICIENT_OWN_OUTCOMES = 3;
    /**
     * Weight of other instances' reports of failures and delays while there are no own outcomes. Below 1 because the
     * cause may not affect this instance.
     */
    private static final double REPORT_WEIGHT = 0.7;
    /** Failure rate from which an endpoint is reported to other instances. */
    private static final double MIN_REPORTED_FAILURE_RATE = 0.05;
    /** Delay from which an endpoint is reported to other instances, in milliseconds. */
    private static final double MIN_REPORTED_DELAY_MILLIS = 50;
    /** Upper bound of a recorded delay, in milliseconds: the goal of the longest requests. */
    private static final double MAX_DELAY_MILLIS = 3_000;
    /** Weight of a new delay in the moving average of an endpoint's delay. */
    private static final double DELAY_SMOOTHING = 0.3;
    /** Ejection time after a first connection failure, in milliseconds; doubles with each consecutive failure. */
    private static final long MIN_EJECTION_MILLIS = 500;
    /** Maximum ejection time, in milliseconds. */
    private static final long MAX_EJECTION_MILLIS = 4_000;

    private final LongSupplier nowMillis;
    private double failureRate;
    private double lateMillis;
    private double outcomes;
    private long decayedAtMillis;
    private int connectionFailures;
    private long ejectedUntilMillis = Long.MIN_VALUE;

    RecentOutcomes(LongSupplier nowMillis) {
        this.nowMillis = checkNotNull(nowMillis);
    }

    /** Returns the recent share of failures, from 0 to 1. */
    double failureRate() {
        return failureRate == 0 ? 0 : failureRate * decayFactor();
    }

    /** Returns the recent delay of first outputs beyond the expected time, in milliseconds. */
    double lateMillis() {
        return lateMillis == 0 ? 0 : lateMillis * decayFactor();
    }

    /** Returns the weight of other instances' reports, which fall with each recent outcome that was seen here. */
    double reportWeight() {
        return outcomes == 0
                ? REPORT_WEIGHT
                : REPORT_WEIGHT * Math.max(0, 1 - outcomes * decayFactor() / SUFFICIENT_OWN_OUTCOMES);
    }

    /** Returns whether failures or delays are worth a report to other instances. */
    boolean isReportable() {
        return failureRate() >= MIN_REPORTED_FAILURE_RATE || lateMillis() >= MIN_REPORTED_DELAY_MILLIS;
    }

    /** Returns the number of connection failures since the last answer. */
    int connectionFailures() {
        return connectionFailures;
    }

    /** Returns whether the endpoint gets no requests because of recent connection failures. */
    boolean isEjected() {
        return nowMillis.getAsLong() < ejectedUntilMillis;
    }

    /** Records that a request ended with an answer or a failure. */
    void record(boolean failed) {
        decay();
        outcomes++;
        failureRate += FAILURE_SMOOTHING * ((failed ? 1 : 0) - failureRate);
    }

    /** Records by how many milliseconds a first output was late; 0 if it was not. */
    void recordDelay(double millis) {
        decay();
        lateMillis += DELAY_SMOOTHING * (Math.min(millis, MAX_DELAY_MILLIS) - lateMillis);
    }

    /** Ends the series of connection failures. */
    void onAnswered() {
        connectionFailures = 0;
    }

    /** Ejects the endpoint after a connection failure. */
    void eject() {
        long ejectionMillis = Math.min(MAX_EJECTION_MILLIS, MIN_EJECTION_MILLIS << Math.min(connectionFailures, 3));
        connectionFailures++;
        ejectedUntilMillis = nowMillis.getAsLong() + ejectionMillis;
    }

    /** Forgets all failures and delays. */
    void forget() {
        failureRate = 0;
        lateMillis = 0;
        outcomes = 0;
        connectionFailures = 0;
        ejectedUntilMillis = Long.MIN_VALUE;
    }

    /** Returns the factor by which failures and delays have decayed since the last one. */
    private double decayFactor() {
        return Math.exp((decayedAtMillis - nowMillis.getAsLong()) / DECAY_TIME_CONSTANT_MILLIS);
    }

    private void decay() {
        double factor = decayFactor();
        failureRate *= factor;
        lateMillis *= factor;
        outcomes *= factor;
        decayedAtMillis = nowMillis.getAsLong();
    }
}
