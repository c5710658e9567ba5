package baobabcroft.serve;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.common.Scheduler;
import baobabcroft.config.AppliedConfig;
import baobabcroft.config.ConfigNode;
import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import baobabcroft.metrics.RouterMetrics;
import baobabcroft.rollout.BadVersionDetector;
import baobabcroft.rollout.DetectorSettings;
import baobabcroft.rollout.EvidenceLedger;
import baobabcroft.rollout.StoppedVersions;
import baobabcroft.rollout.VersionAssignment;
import baobabcroft.rollout.VersionStop;
import baobabcroft.rules.RuleSet;
import baobabcroft.rules.VersionId;
import baobabcroft.rules.VersionRule;
import baobabcroft.rules.VersionState;
import java.time.InstantSource;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * Evaluates the open versions periodically by the evidence of all instances, and stops those that are bad.
 *
 * <p>Thread-safe.
 */
final class VersionWatch {
    private static final long CHECK_INTERVAL_MILLIS = 500;

    private final EventLog log = EventLog.of(VersionWatch.class);
    private final EvidenceLedger ledger;
    private final StoppedVersions stops;
    private final BadVersionDetector detector;
    private final ConfigNode node;
    private final RouterMetrics metrics;
    private final Scheduler scheduler;
    private final InstantSource wallClock;

    VersionWatch(
            EvidenceLedger ledger,
            StoppedVersions stops,
            ConfigNode node,
            RouterMetrics metrics,
            Scheduler scheduler,
            InstantSource wallClock) {
        this.ledger = checkNotNull(ledger);
        this.stops = checkNotNull(stops);
        this.detector = BadVersionDetector.create(DetectorSettings.defaults(), ledger);
        this.node = checkNotNull(node);
        this.metrics = checkNotNull(metrics);
        this.scheduler = checkNotNull(scheduler);
        this.wallClock = checkNotNull(wallClock);
    }

    /** Starts the periodic checks. */
    void start() {
        node.addListener(applied -> ledger.retain(applied.rules().versions().keySet()));
        check();
    }

    /**
     * Chooses the version for a new session, or for a request without a session. If all open versions of the model
     * are stopped, the stops are ignored: an answer of doubtful quality is better than none.
     */
    Optional<VersionId> choose(List<VersionRule> open, String assignmentKey) {
        return VersionAssignment.assign(assignmentKey, open, stops::isStopped)
                .or(() -> VersionAssignment.assign(assignmentKey, open, version -> false));
    }

    /** Applies an automatic stop that another instance reported. */
    void applyRemoteStop(VersionStop stop) {
        recordStop(stop);
    }

    private void check() {
        node.current().map(AppliedConfig::rules).ifPresent(this::check);
        scheduler.schedule(CHECK_INTERVAL_MILLIS, this::check);
    }

    private void check(RuleSet rules) {
        for (VersionRule version : rules.versions().values()) {
            if (version.state() == VersionState.OPEN && stops.stop(version.id()).isEmpty()) {
                List<VersionRule> others = rules.versionsOf(version.id().model()).stream()
                        .filter(other -> other.state() == VersionState.OPEN)
                        .filter(other -> !other.id().equals(version.id()))
                        .toList();
                detector.check(version, others, wallClock.millis()).ifPresent(this::recordStop);
            }
        }
    }

    private void recordStop(VersionStop stop) {
        if (stops.add(stop)) {
            metrics.count("version_stopped." + stop.cause().name().toLowerCase(Locale.ROOT));
            log.log(LogEvent.VERSION_STOPPED, stop.version(), stop.cause(), stop.trials());
        }
    }
}
