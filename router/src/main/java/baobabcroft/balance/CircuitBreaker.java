package baobabcroft.balance;

import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

/** Circuit breaker of one endpoint, fed by the outcomes of this instance's calls. Not thread-safe. */
final class CircuitBreaker {
    private static final double MIN_JITTER = 0.5;
    private static final double MIN_SLOW_START_SHARE = 0.1;

    private final BreakerSettings settings;
    private final DoubleSupplier jitter;
    private EndpointHealth health = EndpointHealth.READY;
    private int consecutiveFailures;
    private double calls;
    private double failures;
    private long lastDecayNanos;
    private int ejections;
    private long ejectedUntilNanos;
    private long recoveredAtNanos;

    CircuitBreaker(BreakerSettings settings, DoubleSupplier jitter, long nowNanos) {
        this.settings = settings;
        this.jitter = jitter;
        this.lastDecayNanos = nowNanos;
    }

    EndpointHealth health(long nowNanos) {
        if (health == EndpointHealth.EJECTED && nowNanos - ejectedUntilNanos >= 0) {
            health = EndpointHealth.PROBING;
        }
        if (health == EndpointHealth.SLOW_START && slowStartShare(nowNanos) >= 1) {
            health = EndpointHealth.READY;
        }
        return health;
    }

    /** Returns the number of concurrent requests that the endpoint may take now. */
    int capacity(int maxConcurrent, long nowNanos) {
        return switch (health(nowNanos)) {
            case EJECTED -> 0;
            case PROBING -> 1;
            case SLOW_START -> (int) Math.max(1, maxConcurrent * slowStartShare(nowNanos));
            default -> maxConcurrent;
        };
    }

    private double slowStartShare(long nowNanos) {
        double share =
                (double) (nowNanos - recoveredAtNanos) / TimeUnit.MILLISECONDS.toNanos(settings.slowStartMillis());
        return Math.max(MIN_SLOW_START_SHARE, share);
    }

    void succeeded(long nowNanos) {
        decay(nowNanos);
        calls++;
        consecutiveFailures = 0;
        if (health(nowNanos) == EndpointHealth.PROBING) {
            health = EndpointHealth.SLOW_START;
            recoveredAtNanos = nowNanos;
            calls = 0;
            failures = 0;
            return;
        }
        if (health == EndpointHealth.READY && calls - failures >= settings.minCalls()) {
            ejections = 0;
        }
    }

    void failed(long nowNanos) {
        decay(nowNanos);
        calls++;
        failures++;
        consecutiveFailures++;
        EndpointHealth current = health(nowNanos);
        if (current == EndpointHealth.EJECTED) {
            return;
        }
        boolean thresholdReached = consecutiveFailures >= settings.consecutiveFailures()
                || (calls >= settings.minCalls() && failures / calls >= settings.failureShare());
        if (current == EndpointHealth.PROBING || thresholdReached) {
            eject(nowNanos);
        }
    }

    private void eject(long nowNanos) {
        double doubled = settings.ejectionMillis() * Math.pow(2, ejections);
        double lengthMillis = Math.min((double) settings.maxEjectionMillis(), doubled);
        double jittered = lengthMillis * (MIN_JITTER + (1 - MIN_JITTER) * jitter.getAsDouble());
        ejectedUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos((long) jittered);
        health = EndpointHealth.EJECTED;
        ejections = Math.min(ejections + 1, Integer.SIZE);
        consecutiveFailures = 0;
    }

    private void decay(long nowNanos) {
        double elapsedMillis = (double) (nowNanos - lastDecayNanos) / TimeUnit.MILLISECONDS.toNanos(1);
        double factor = Math.pow(0.5, elapsedMillis / settings.halfLifeMillis());
        calls *= factor;
        failures *= factor;
        lastDecayNanos = nowNanos;
    }
}
