package baobabcroft.instance;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.directory.EndpointEntry;
import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import baobabcroft.metrics.RouterMetrics;
import baobabcroft.relay.AttemptInfo;
import baobabcroft.relay.Ineligibility;
import baobabcroft.relay.RelayListener;
import baobabcroft.relay.RelaySummary;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMultiset;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

/**
 * Counts the events of all requests and logs those of requests that were refused, failed, sent repeatedly or slow, and
 * of a sample of the others. The log lines of a request are buffered until it ends, so that most ordinary requests are
 * not logged. Not thread-safe.
 */
final class RelayRecorder implements RelayListener {
    /** One of this many ordinary requests is logged. */
    private static final int SAMPLE_INTERVAL = 50;
    /** Requests that take this long or longer are logged; the shortest latency goal of streaming routes. */
    private static final long SLOW_MILLIS = 2_000;

    private static final String ANSWERED = "answered";
    private static final String NONE = "none";

    private final EventLog log = EventLog.of(RelayRecorder.class);
    private final RouterMetrics metrics;
    private final LongSupplier listAgeMillis;
    private final LongSupplier loadAgeMillis;
    private final Map<String, List<Line>> bufferedLines = new HashMap<>();
    private long ordinaryRequests;

    private record Line(LogEvent event, List<Object> values, long atNanos) {}

    RelayRecorder(RouterMetrics metrics, LongSupplier listAgeMillis, LongSupplier loadAgeMillis) {
        this.metrics = checkNotNull(metrics);
        this.listAgeMillis = checkNotNull(listAgeMillis);
        this.loadAgeMillis = checkNotNull(loadAgeMillis);
    }

    @Override
    public void onAttemptStarted(String requestId, AttemptInfo send) {
        metrics.count(send.attempt() == 1 ? "relay.first_sends" : "relay.repeated_sends");
        buffer(
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
        buffer(requestId, LogEvent.SEND_FAILED, requestId, endpoint.id(), reason);
    }

    @Override
    public void onNoEndpoint(String requestId, ImmutableMultiset<Ineligibility> exclusions) {
        exclusions.elementSet().forEach(reason -> metrics.count("endpoints.ineligible." + reason.label()));
        String reasons = exclusions.entrySet().stream()
                .map(entry -> entry.getElement().label() + ':' + entry.getCount())
                .collect(Collectors.joining(","));
        buffer(requestId, LogEvent.NO_ENDPOINT, requestId, reasons.isEmpty() ? NONE : reasons);
    }

    @Override
    public void onWaiting(String requestId, long waitMillis) {
        metrics.count("relay.pause_waits");
        buffer(requestId, LogEvent.REQUEST_WAITING, requestId, waitMillis);
    }

    private void buffer(String requestId, LogEvent event, Object... values) {
        bufferedLines
                .computeIfAbsent(requestId, unused -> new ArrayList<>())
                .add(new Line(event, List.of(values), System.nanoTime()));
    }

    @Override
    public void onFinished(RelaySummary summary) {
        metrics.count("relay.outcome." + summary.outcome());
        summary.stopReason().ifPresent(reason -> metrics.count("retry_stopped." + reason));
        metrics.recordTotal(TimeUnit.MILLISECONDS.toNanos(summary.elapsedMillis()));
        List<Line> lines =
                Optional.ofNullable(bufferedLines.remove(summary.requestId())).orElse(List.of());
        if (!isNotable(summary) && ++ordinaryRequests % SAMPLE_INTERVAL != 0) {
            return;
        }
        lines.forEach(this::logBuffered);
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

    /** Logs a buffered line with its age, from which a reader can compute the time of the event. */
    private void logBuffered(Line line) {
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
