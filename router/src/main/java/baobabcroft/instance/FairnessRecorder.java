package baobabcroft.instance;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.fairness.FairAdmission;
import baobabcroft.fairness.FairRequest;
import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import baobabcroft.metrics.RouterMetrics;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/** Counts refusals for the sake of other client accounts, and logs them at a bounded rate. Not thread-safe. */
final class FairnessRecorder implements FairAdmission.Listener {
    /** Interval of the log lines about one account at one service, in milliseconds. */
    private static final long LOG_INTERVAL_MILLIS = 10_000;

    private final EventLog log = EventLog.of(FairnessRecorder.class);
    private final RouterMetrics metrics;
    private final LongSupplier nowMillis;
    private final Map<Subject, Refusals> refusals = new HashMap<>();

    private record Subject(String service, String account) {}

    private static final class Refusals {
        private long loggedAtMillis = Long.MIN_VALUE;
        private long count;
    }

    FairnessRecorder(RouterMetrics metrics, LongSupplier nowMillis) {
        this.metrics = checkNotNull(metrics);
        this.nowMillis = checkNotNull(nowMillis);
    }

    @Override
    public void onRefused(FairRequest request, double aboveShare, double occupancy) {
        metrics.count("fairness.refusals." + request.service());
        Refusals known =
                refusals.computeIfAbsent(new Subject(request.service(), request.account()), unused -> new Refusals());
        known.count++;
        long now = nowMillis.getAsLong();
        if (known.loggedAtMillis == Long.MIN_VALUE || now - known.loggedAtMillis >= LOG_INTERVAL_MILLIS) {
            log.log(
                    LogEvent.ACCOUNT_REFUSED,
                    request.account(),
                    request.service(),
                    known.count,
                    Math.round(100 * aboveShare),
                    Math.round(100 * occupancy));
            known.loggedAtMillis = now;
            known.count = 0;
        }
    }
}
