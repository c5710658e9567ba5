package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Learns how fast work is done: the usual time of each kind of work, and how each endpoint compares with it.
 *
 * <p>A kind of work is the prefill of one token by a model, or one request of a plain service. An observation counts
 * only if nothing known was queued before it. Times are averaged as logarithms, so that 0.6 and 1/0.6 of the usual
 * speed weigh the same, and an observation far from the estimate moves it by a bounded step. Not thread-safe.
 */
final class EndpointSpeeds {
    /** Weight of a new observation in the moving average of the usual time. */
    private static final double USUAL_SMOOTHING = 0.1;
    /** Observations after which the usual time is known well enough to bound the step of an outlier. */
    private static final int PROVISIONAL_OBSERVATIONS = 5;
    /** Largest step of the logarithm of an observation away from the estimate: a factor of 2. */
    private static final double MAX_LOG_STEP = Math.log(2);
    /** The same while the usual time is provisional: models differ from the default by a factor of ten. */
    private static final double MAX_PROVISIONAL_LOG_STEP = Math.log(8);

    /** Observations that the assumption of the usual speed is worth. */
    private static final double PRIOR_WEIGHT = 1;
    /** Factor by which earlier observations of an endpoint lose weight with each new one: about seven count. */
    private static final double OBSERVATION_RETENTION = 0.85;
    /** Time constant in which observations of an endpoint lose weight, in milliseconds. */
    private static final double FORGETTING_TIME_CONSTANT_MILLIS = 60_000;
    /** Age of a computed factor after which it is computed again, in milliseconds: much less than the forgetting. */
    private static final long FACTOR_VALIDITY_MILLIS = 1_000;

    private final LongSupplier nowMillis;
    private final boolean perEndpoint;
    private final Map<String, UsualTime> usualTimes = new HashMap<>();

    private EndpointSpeeds(LongSupplier nowMillis, boolean perEndpoint) {
        this.nowMillis = checkNotNull(nowMillis);
        this.perEndpoint = perEndpoint;
    }

    /** Returns an object without observations. */
    static EndpointSpeeds create(LongSupplier nowMillis) {
        return new EndpointSpeeds(nowMillis, true);
    }

    /** Returns an object that learns usual times only and takes all endpoints for equally fast. */
    static EndpointSpeeds uniform(LongSupplier nowMillis) {
        return new EndpointSpeeds(nowMillis, false);
    }

    /** Returns the speed of a new endpoint. */
    Speed newEndpoint() {
        return new Speed();
    }

    /** Returns the usual time of a kind of work in milliseconds, which is the default before any observation. */
    double usualMillis(String kind, double defaultMillis) {
        UsualTime usual = usualTimes.get(kind);
        return usual == null ? defaultMillis : usual.millis;
    }

    /** Returns the kind of work of the prefill of one token. */
    static String prefillKind(Optional<String> model) {
        return model.orElse("");
    }

    /** Usual time of one kind of work. */
    private static final class UsualTime {
        private double millis;
        private int observations;

        private UsualTime(double millis) {
            this.millis = millis;
        }

        private void add(double observedMillis) {
            observations++;
            double bound = observations > PROVISIONAL_OBSERVATIONS ? MAX_LOG_STEP : MAX_PROVISIONAL_LOG_STEP;
            double step = clamp(Math.log(observedMillis / millis), bound);
            millis *= Math.exp(Math.max(USUAL_SMOOTHING, 1.0 / (observations + 1)) * step);
        }
    }

    private static double clamp(double logStep, double bound) {
        return Math.max(-bound, Math.min(bound, logStep));
    }

    /**
     * Adds an observation of which it is not known how much work it was. It counts for the usual time only, and only
     * while that is provisional.
     */
    void observeDoubtful(String kind, double defaultMillis, double observedMillis) {
        UsualTime usual = usualTimes.computeIfAbsent(kind, unused -> new UsualTime(defaultMillis));
        if (observedMillis > 0 && usual.observations < PROVISIONAL_OBSERVATIONS) {
            usual.add(observedMillis);
        }
    }

    /** Speed of one endpoint as this instance has observed it. */
    final class Speed {
        private double weight;
        private double weightedLog;
        private long decayedAtMillis = nowMillis.getAsLong();
        private double factor = 1;
        private long factorAtMillis = decayedAtMillis;

        private Speed() {}

        /** Returns the expected time of work at this endpoint, as a multiple of the usual time. */
        double timeFactor() {
            long now = nowMillis.getAsLong();
            if (now - factorAtMillis > FACTOR_VALIDITY_MILLIS) {
                computeFactor(now);
            }
            return factor;
        }

        /**
         * Adds an observation of work that did not wait.
         *
         * @param kind the kind of work
         * @param defaultMillis usual time of the kind before any observation, in milliseconds
         * @param observedMillis the observed time of one unit of the work, in milliseconds; ignored unless positive
         */
        void observe(String kind, double defaultMillis, double observedMillis) {
            if (!(observedMillis > 0)) {
                return;
            }
            double factorBefore = timeFactor();
            UsualTime usual = usualTimes.computeIfAbsent(kind, unused -> new UsualTime(defaultMillis));
            if (perEndpoint && usual.observations >= PROVISIONAL_OBSERVATIONS) {
                double logBefore = Math.log(factorBefore);
                double observedLog =
                        logBefore + clamp(Math.log(observedMillis / usual.millis) - logBefore, MAX_LOG_STEP);
                decay(nowMillis.getAsLong());
                weight = weight * OBSERVATION_RETENTION + 1;
                weightedLog = weightedLog * OBSERVATION_RETENTION + observedLog;
                computeFactor(nowMillis.getAsLong());
            }
            usual.add(observedMillis / factorBefore);
        }

        private void decay(long now) {
            double retained = Math.exp((decayedAtMillis - now) / FORGETTING_TIME_CONSTANT_MILLIS);
            weight *= retained;
            weightedLog *= retained;
            decayedAtMillis = now;
        }

        private void computeFactor(long now) {
            decay(now);
            factor = Math.exp(weightedLog / (weight + PRIOR_WEIGHT));
            factorAtMillis = now;
        }
    }
}
