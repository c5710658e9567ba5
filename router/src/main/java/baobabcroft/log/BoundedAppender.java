package baobabcroft.log;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import com.google.common.base.Ticker;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

/**
 * Logback appender that never blocks: lines wait in a bounded queue, a line that finds no room is dropped and counted,
 * those up to INFO first. Of one event, so many lines pass in a second; the rest are left out and summed up in one
 * line. Thread-safe.
 */
public final class BoundedAppender extends AsyncAppender {
    /** Lines of one event that pass in a second, unless configured: several times the usual at today's peak. */
    private static final int DEFAULT_MAX_PER_SECOND = 200;
    /** Length of an event's number in a line, as {@code BC1001}. */
    private static final int CODE_CHARS = 6;

    private static final LongAdder DROPPED = new LongAdder();
    private static final LongAdder LEFT_OUT = new LongAdder();

    private final Ticker ticker;
    private final Map<String, Integer> passed = new HashMap<>();
    private int maxPerSecond = DEFAULT_MAX_PER_SECOND;
    private long second;

    /** Creates an appender by the system's steady clock; called by Logback. */
    public BoundedAppender() {
        this(Ticker.systemTicker());
    }

    BoundedAppender(Ticker ticker) {
        this.ticker = ticker;
        this.second = seconds();
        setNeverBlock(true);
    }

    /**
     * Sets how many lines of one event pass in a second.
     *
     * @param lines the bound
     */
    public void setMaxPerSecond(int lines) {
        maxPerSecond = lines;
    }

    /**
     * Returns how many lines found no room in the queues of this process.
     *
     * @return the count since the start
     */
    public static long droppedLines() {
        return DROPPED.sum();
    }

    /**
     * Returns how many lines were left out because their event came too often.
     *
     * @return the count since the start
     */
    public static long suppressedLines() {
        return LEFT_OUT.sum();
    }

    @Override
    protected void append(ILoggingEvent event) {
        if (passesRate(event)) {
            enqueue(event);
        } else {
            LEFT_OUT.increment();
        }
    }

    private void enqueue(ILoggingEvent event) {
        boolean full = getRemainingCapacity() == 0;
        boolean scarce = getRemainingCapacity() < getDiscardingThreshold() && isDiscardable(event);
        if (full || scarce) {
            DROPPED.increment();
        }
        super.append(event);
    }

    private synchronized boolean passesRate(ILoggingEvent event) {
        if (seconds() != second) {
            second = seconds();
            summarize(event);
            passed.clear();
        }
        String message = event.getFormattedMessage();
        String code = message.length() < CODE_CHARS ? message : message.substring(0, CODE_CHARS);
        return passed.merge(code, 1, Integer::sum) <= maxPerSecond;
    }

    private void summarize(ILoggingEvent next) {
        passed.forEach((code, lines) -> {
            if (lines > maxPerSecond) {
                enqueue(summary(next, code, lines - maxPerSecond));
            }
        });
    }

    private static LoggingEvent summary(ILoggingEvent next, String code, int lines) {
        LoggingEvent summary = new LoggingEvent();
        summary.setLoggerName(BoundedAppender.class.getName());
        summary.setLoggerContextRemoteView(next.getLoggerContextVO());
        summary.setThreadName(next.getThreadName());
        summary.setMDCPropertyMap(Map.of());
        summary.setTimeStamp(next.getTimeStamp());
        summary.setLevel(Level.convertAnSLF4JLevel(LogEvent.LINES_LEFT_OUT.level()));
        summary.setMessage(EventLog.render(LogEvent.LINES_LEFT_OUT, code, lines));
        return summary;
    }

    private long seconds() {
        return TimeUnit.NANOSECONDS.toSeconds(ticker.read());
    }
}
