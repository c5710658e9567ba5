package baobabcroft.instance;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.directory.EndpointDirectory;
import baobabcroft.directory.EndpointEntry;
import baobabcroft.load.EndpointKey;
import baobabcroft.load.PeerLoads;
import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import baobabcroft.metrics.RouterMetrics;
import baobabcroft.pace.EndpointEvidence;
import baobabcroft.pace.EndpointPace;
import baobabcroft.pace.PaceFleet;
import baobabcroft.pace.PaceReason;
import baobabcroft.relay.AttemptInfo;
import baobabcroft.relay.EndpointAvailability;
import baobabcroft.relay.EndpointEligibility;
import baobabcroft.relay.EndpointLoads;
import baobabcroft.relay.Ineligibility;
import baobabcroft.relay.RelayListener;
import baobabcroft.relay.RelaySummary;
import baobabcroft.routing.RoutingTableHolder;
import baobabcroft.routing.ServiceProfile;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/** Connects the paces of endpoints with the other parts of an instance. Not thread-safe. */
final class InstancePace {
    private final PaceFleet fleet;
    private final EndpointPace pace;

    /**
     * Creates the paces of an instance that has not read the store yet.
     *
     * @param settings settings of the instance
     * @param bounds supplies the current bounds
     * @param names supplies the names of all known instances
     * @param directory the listed endpoints
     * @param routing holds the current routing table
     * @param peerLoads what other instances report of endpoints
     * @param loads what this instance has seen of endpoints
     * @param metrics counts what happens
     * @param nowMillis monotonic clock, in milliseconds
     * @param random source of numbers in [0, 1)
     */
    InstancePace(
            InstanceSettings settings,
            Supplier<DeploymentBounds> bounds,
            Supplier<ImmutableSet<String>> names,
            EndpointDirectory directory,
            RoutingTableHolder routing,
            PeerLoads peerLoads,
            EndpointLoads loads,
            RouterMetrics metrics,
            LongSupplier nowMillis,
            DoubleSupplier random) {
        checkNotNull(routing);
        this.fleet = new PaceFleet(settings.instance(), settings.failureDomain(), settings.regions(), names);
        this.pace = new EndpointPace(
                fleet,
                directory,
                nowMillis,
                random,
                service -> routing.current()
                        .flatMap(table -> table.service(service))
                        .flatMap(ServiceProfile::warmUp),
                new Evidence(peerLoads, loads),
                statedPerSecond -> bounds.get().warmUpRequests(statedPerSecond),
                new Recorder(metrics));
        metrics.gauge("pace.endpoints", pace::pacedEndpoints);
    }

    /** Lets the sends to endpoints be limited, and returns the rule by which they are not chosen. */
    EndpointEligibility.Rule limit(EndpointAvailability availability) {
        availability.limitSends(pace);
        return (endpoint, request) -> pace.isHeldBack(endpoint) ? Optional.of(Ineligibility.PACED) : Optional.empty();
    }

    /** Returns a listener that passes failed attempts on to the paces, and everything to another listener. */
    RelayListener observe(RelayListener listener) {
        return new FailureObserver(listener);
    }

    EndpointPace pace() {
        return pace;
    }

    void putPeer(String name, String failureDomain) {
        fleet.putInstance(name, failureDomain);
    }

    void tick() {
        pace.tick();
    }

    private record Evidence(PeerLoads peerLoads, EndpointLoads loads) implements EndpointEvidence {
        private Evidence {
            checkNotNull(peerLoads);
            checkNotNull(loads);
        }

        @Override
        public double reportedFailureRate(EndpointEntry endpoint) {
            return peerLoads.loadOf(EndpointKey.of(endpoint.id())).failureRate();
        }

        @Override
        public PeerLoads.Load seenByAll(EndpointEntry endpoint) {
            EndpointKey key = EndpointKey.of(endpoint.id());
            return loads.localLoads().getOrDefault(key, PeerLoads.Load.NONE).plus(peerLoads.loadOf(key));
        }
    }

    private final class FailureObserver implements RelayListener {
        private final RelayListener next;

        private FailureObserver(RelayListener next) {
            this.next = checkNotNull(next);
        }

        @Override
        public void onAttemptStarted(String requestId, AttemptInfo attempt) {
            next.onAttemptStarted(requestId, attempt);
        }

        @Override
        public void onAttemptFailed(String requestId, EndpointEntry endpoint, String reason) {
            pace.onAttemptFailed(endpoint, reason);
            next.onAttemptFailed(requestId, endpoint, reason);
        }

        @Override
        public void onWaiting(String requestId, long waitMillis) {
            next.onWaiting(requestId, waitMillis);
        }

        @Override
        public void onFinished(RelaySummary summary) {
            next.onFinished(summary);
        }
    }

    /** Counts and logs which endpoints are paced. */
    private static final class Recorder implements EndpointPace.Listener {
        private final EventLog log = EventLog.of(EndpointPace.class);
        private final RouterMetrics metrics;

        private Recorder(RouterMetrics metrics) {
            this.metrics = checkNotNull(metrics);
        }

        @Override
        public void onStarted(
                EndpointEntry endpoint, PaceReason reason, double ratePerSecond, int holders, boolean holdsShare) {
            metrics.count("pace.started." + reason.label());
            log.log(
                    LogEvent.ENDPOINT_PACE_STARTED,
                    endpoint.id(),
                    endpoint.startedAtEpochMillis(),
                    reason.label(),
                    ratePerSecond,
                    holders,
                    holdsShare);
        }

        @Override
        public void onEnded(EndpointEntry endpoint, PaceReason reason, long pacedMillis, int sent) {
            metrics.count("pace.ended");
            metrics.counter("pace.requests").inc(sent);
            log.log(LogEvent.ENDPOINT_PACE_ENDED, endpoint.id(), reason.label(), pacedMillis, sent);
        }
    }
}
