package baobabcroft.instance;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import baobabcroft.metrics.RouterMetrics;
import baobabcroft.reach.EndpointReachability;

/** Counts and logs when this instance is cut off from all endpoints and when it reaches them again. */
final class ReachabilityRecorder implements EndpointReachability.Listener {
    private final EventLog log = EventLog.of(ReachabilityRecorder.class);
    private final RouterMetrics metrics;

    ReachabilityRecorder(RouterMetrics metrics) {
        this.metrics = checkNotNull(metrics);
    }

    @Override
    public void onIsolated(int triedEndpoints) {
        metrics.count("endpoints.unreachable");
        log.log(LogEvent.ENDPOINTS_UNREACHABLE, triedEndpoints);
    }

    @Override
    public void onReachable(long isolatedMillis) {
        log.log(LogEvent.ENDPOINTS_REACHABLE, isolatedMillis);
    }
}
