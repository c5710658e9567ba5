package baobabcroft.relay;

import baobabcroft.directory.EndpointEntry;
import baobabcroft.routing.Route;
import com.google.common.collect.ImmutableList;
import java.util.Optional;

/** What attempts at other instances show of endpoints, versions and requests: nothing. */
final class PeerEvidence {
    private static final AttemptMonitor NO_MONITOR = new AttemptMonitor() {
        @Override
        public void firstOutputReceived() {}

        @Override
        public void ended(AttemptResult result) {}
    };

    static final VersionSelector NO_ROLLOUT = new VersionSelector() {
        @Override
        public ImmutableList<EndpointEntry> selectEndpoints(
                String service, ImmutableList<EndpointEntry> candidates, Optional<String> session, String requestId) {
            return candidates;
        }

        @Override
        public AttemptMonitor monitorAttempt(EndpointEntry endpoint, Route route) {
            return NO_MONITOR;
        }
    };

    static final PoisonDetector NO_CRASHES = new PoisonDetector() {
        @Override
        public boolean isPoison(RequestIdentity request) {
            return false;
        }

        @Override
        public void onConnectionLost(RequestIdentity request, EndpointEntry endpoint) {}

        @Override
        public void onAnswered(RequestIdentity request) {}
    };

    static final EndpointAvailability.Listener NO_STATEMENTS = new EndpointAvailability.Listener() {
        @Override
        public void onLeaving(EndpointEntry endpoint) {}

        @Override
        public void onPaused(EndpointEntry endpoint, long pauseMillis, boolean capped) {}

        @Override
        public void onUnreadablePause(EndpointEntry endpoint, String value) {}

        @Override
        public void onLimited(EndpointEntry endpoint, double limitPerSecond) {}

        @Override
        public void onLimitEnded(EndpointEntry endpoint) {}

        @Override
        public void onUnreadableLimit(EndpointEntry endpoint, String value) {}

        @Override
        public void onBrittle(EndpointEntry endpoint, int toleratedRejections) {}

        @Override
        public void onBrittleEnded(EndpointEntry endpoint) {}
    };

    private PeerEvidence() {}
}
