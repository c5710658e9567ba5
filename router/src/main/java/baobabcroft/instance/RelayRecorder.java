package baobabcroft.instance;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.directory.EndpointEntry;
import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import baobabcroft.metrics.RouterMetrics;
import baobabcroft.relay.AttemptInfo;
import baobabcroft.relay.RelayListener;
import baobabcroft.relay.RelaySummary;
import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Counts each decision on a request and logs those of requests that were refused, failed, repeated or slow, and of a
 * sample of the others. The lines of a request are held until its end, so that an ordinary one costs no log line.
 */
final class RelayRecorder implements RelayListener {
    /** One in so many ordinary requests is logged. */
    private static final int SAMPLE = 50;
    /** Time from which a request is logged as slow, in milliseconds: the shortest goal of streams. */
    private static final long SLOW_MILLIS = 2_000;

    private static final String ANSWERED = "answered";
    private static final String NONE = "none";

    private final EventLog log = EventLog.of(RelayRecorder.class);
    private final RouterMetrics metrics;
    private final LongSupplier listAgeMillis;
    private final LongSupplier loadAgeMillis;
    private final Map<String, List<Line>> held = new HashMap<>();
    private long ordinary;

    private record Line(LogEvent event, List<Object> values, long atNanos) {}

    RelayRecorder(RouterMetrics metrics, LongSupplier listAgeMillis, LongSupplier loadAgeMillis) {
        this.metrics = checkNotNull(metrics);
        this.listAgeMillis = checkNotNull(listAgeMillis);
        this.loadAgeMillis = checkNotNull(loadAgeMillis);
    }

    @Override
    public void onAttemptStarted(String requestId, AttemptInfo send) {
        metrics.count(send.attempt() == 1 ? "relay.first_sends" : "relay.repeated_sends");
        hold(
                requestId,
                LogEvent.REQUEST_SENT,
                requestId,
                send.endpoint().id(),
                send.endpoint().version(),
                send.model().orElse(NONE),
                send.attempt(),
                send.expectedMillis(),
                send.waitMillis(),
                send.resumeAfter().isPresent() ? send.resumeAfter().getAsLong() : NONE,
                listAgeMillis.getAsLong(),
                loadAgeMillis.getAsLong());
    }

    @Override
    public void onAttemptFailed(String requestId, EndpointEntry endpoint, String reason) {
        metrics.countRetry(reason);
        hold(requestId, LogEvent.SEND_FAILED, requestId, endpoint.id(), reason);
    }

    private void hold(String requestId, LogEvent event, Object... values) {
        held.computeIfAbsent(requestId, unused -> new ArrayList<>())
                .add(new Line(event, List.of(values), System.nanoTime()));
    }

    @Override
    public void onFinished(RelaySummary summary) {
        metrics.count("relay.outcome." + summary.outcome());
        summary.stopReason().ifPresent(reason -> metrics.count("retry_stopped." + reason));
        metrics.recordTotal(TimeUnit.MILLISECONDS.toNanos(summary.elapsedMillis()));
        List<Line> lines = Optional.ofNullable(held.remove(summary.requestId())).orElse(List.of());
        if (!isNotable(summary) && ++ordinary % SAMPLE != 0) {
            return;
        }
        lines.forEach(this::logHeld);
        log.log(
                LogEvent.REQUEST_FINISHED,
                summary.requestId(),
                summary.route().orElse(NONE),
                summary.account().orElse(NONE),
                summary.outcome(),
                summary.stopReason().orElse(NONE),
                summary.status(),
                summary.execution(),
                summary.attempts(),
                summary.elapsedMillis(),
                summary.configVersion());
    }

    /** Logs a line with how long ago it was held, so that a reader can put it where it belongs. */
    private void logHeld(Line line) {
        long agoMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - line.atNanos());
        log.log(
                line.event(),
                ImmutableList.builder()
                        .addAll(line.values())
                        .add(agoMillis)
                        .build()
                        .toArray());
    }

    private static boolean isNotable(RelaySummary summary) {
        return !summary.outcome().equals(ANSWERED) || summary.attempts() > 1 || summary.elapsedMillis() >= SLOW_MILLIS;
    }
}
