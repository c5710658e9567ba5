package baobabcroft.balance;

import baobabcroft.common.StatedPause;
import baobabcroft.rules.EndpointRule;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

/** State of one endpoint in this instance: load and health. Thread-safe; no method holds the lock for long. */
final class Endpoint {
    private static final double REPORT_HALF_LIFE_MILLIS = 4_000;
    private static final double SERVICE_SAMPLE_WEIGHT = 0.1;

    private final CircuitBreaker breaker;
    private final PauseGate pauseGate;
    private EndpointRule rule;
    private Locality locality;
    private boolean leaving;
    private int inFlight;
    private LoadReport report;
    private int inFlightAtReport;
    private double serviceMillis;

    Endpoint(EndpointRule rule, Locality locality, BreakerSettings settings, DoubleSupplier jitter, long nowNanos) {
        this.rule = rule;
        this.locality = locality;
        this.breaker = new CircuitBreaker(settings, jitter, nowNanos);
        this.pauseGate = new PauseGate(settings, jitter);
    }

    synchronized void update(EndpointRule newRule, Locality newLocality) {
        rule = newRule;
        locality = newLocality;
    }

    synchronized void setLeaving(boolean isLeaving) {
        leaving = isLeaving;
    }

    synchronized void report(LoadReport newReport) {
        if (report != null && newReport.takenAtNanos() - report.takenAtNanos() < 0) {
            return;
        }
        report = newReport;
        inFlightAtReport = inFlight;
    }

    /** Returns a snapshot of the endpoint if it has capacity left by this instance's own count. */
    synchronized Optional<Candidate> candidate(long nowNanos) {
        int capacity = capacity(nowNanos);
        if (inFlight >= capacity) {
            return Optional.empty();
        }
        int reported = report == null ? 0 : report.total();
        return Optional.of(new Candidate(rule, locality, inFlight, capacity, reported, load(nowNanos), serviceMillis));
    }

    synchronized boolean tryAcquire(long nowNanos) {
        if (inFlight >= capacity(nowNanos)) {
            return false;
        }
        inFlight++;
        return true;
    }

    synchronized void succeeded(long latencyMillis, long nowNanos) {
        inFlight--;
        double weight = serviceMillis == 0 ? 1 : SERVICE_SAMPLE_WEIGHT;
        serviceMillis += weight * (latencyMillis - serviceMillis);
        breaker.succeeded(nowNanos);
    }

    synchronized void failed(FailureKind kind, long nowNanos) {
        inFlight--;
        if (kind.countsAgainstHealth()) {
            breaker.failed(nowNanos);
        }
    }

    synchronized void pause(StatedPause pause, long nowNanos) {
        pauseGate.pause(pause, nowNanos);
    }

    synchronized void cancelled() {
        inFlight--;
    }

    synchronized PoolLoad poolLoad(long nowNanos) {
        return new PoolLoad(inFlight, load(nowNanos), capacity(nowNanos), serviceMillis, pauseMillis(nowNanos));
    }

    synchronized EndpointStatus status(long nowNanos) {
        EndpointHealth health = leaving ? EndpointHealth.LEAVING : breaker.health(nowNanos);
        return new EndpointStatus(rule.name(), health, inFlight, load(nowNanos), serviceMillis);
    }

    private int capacity(long nowNanos) {
        return leaving
                ? 0
                : Math.min(
                        breaker.capacity(rule.maxConcurrent(), nowNanos),
                        pauseGate.capacity(rule.maxConcurrent(), nowNanos));
    }

    private OptionalLong pauseMillis(long nowNanos) {
        return leaving ? OptionalLong.empty() : pauseGate.remainingMillis(nowNanos);
    }

    private double load(long nowNanos) {
        if (report == null) {
            return inFlight;
        }
        double ageMillis = (double) (nowNanos - report.takenAtNanos()) / TimeUnit.MILLISECONDS.toNanos(1);
        double discount = Math.pow(0.5, Math.max(0, ageMillis) / REPORT_HALF_LIFE_MILLIS);
        int others = Math.max(0, report.total() - inFlightAtReport);
        return inFlight + discount * others;
    }
}
