package baobabcroft.instance;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.directory.EndpointEntry;
import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import baobabcroft.metrics.RouterMetrics;
import baobabcroft.relay.EndpointAvailability;

/** Counts and logs what endpoints state about taking requests. */
final class AvailabilityRecorder implements EndpointAvailability.Listener {
    private final EventLog log = EventLog.of(AvailabilityRecorder.class);
    private final RouterMetrics metrics;

    AvailabilityRecorder(RouterMetrics metrics) {
        this.metrics = checkNotNull(metrics);
    }

    @Override
    public void onLeaving(EndpointEntry endpoint) {
        metrics.count("endpoints.leaving_stated");
        log.log(LogEvent.ENDPOINT_LEAVING, endpoint.id(), endpoint.startedAtEpochMillis());
    }

    @Override
    public void onPaused(EndpointEntry endpoint, long pauseMillis, boolean capped) {
        metrics.count(capped ? "endpoints.pauses_capped" : "endpoints.pauses");
        log.log(LogEvent.ENDPOINT_PAUSED, endpoint.id(), pauseMillis, capped);
    }

    @Override
    public void onUnreadablePause(EndpointEntry endpoint, String value) {
        metrics.count("endpoints.pauses_unreadable");
        log.log(LogEvent.ENDPOINT_PAUSE_UNREADABLE, endpoint.id(), value);
    }

    @Override
    public void onLimited(EndpointEntry endpoint, double limitPerSecond) {
        metrics.count("endpoints.limits_stated");
        log.log(LogEvent.ENDPOINT_LIMITED, endpoint.id(), limitPerSecond);
    }

    @Override
    public void onLimitEnded(EndpointEntry endpoint) {
        metrics.count("endpoints.limits_ended");
        log.log(LogEvent.ENDPOINT_LIMIT_ENDED, endpoint.id());
    }

    @Override
    public void onUnreadableLimit(EndpointEntry endpoint, String value) {
        metrics.count("endpoints.limits_unreadable");
        log.log(LogEvent.ENDPOINT_LIMIT_UNREADABLE, endpoint.id(), value);
    }

    @Override
    public void onBrittle(EndpointEntry endpoint, int toleratedRejections) {
        metrics.count("endpoints.brittle_stated");
        log.log(LogEvent.ENDPOINT_BRITTLE, endpoint.id(), toleratedRejections);
    }

    @Override
    public void onBrittleEnded(EndpointEntry endpoint) {
        metrics.count("endpoints.brittle_ended");
        log.log(LogEvent.ENDPOINT_BRITTLE_ENDED, endpoint.id());
    }
}
