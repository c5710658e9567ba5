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
 * Logback appender that never blocks the caller. Lines are queued in a bounded queue; a line for which the queue has no
 * room is dropped and counted, and lines up to INFO are dropped before the queue is full. The number of lines of one
 * event in one second is limited; further lines are suppressed and reported in one summary line. Thread-safe.
 */
public final class BoundedAppender extends AsyncAppender {
    /** Default limit of lines of one event in one second: several times the usual rate at peak load. */
    private static final int DEFAULT_MAX_PER_SECOND = 200;
    /** Length of an event code, such as {@code BC1001}, at the start of a line. */
    private static final int CODE_LENGTH = 6;

    private static final LongAdder DROPPED = new LongAdder();
    private static final LongAdder SUPPRESSED = new LongAdder();

    private final Ticker ticker;
    private final Map<String, Integer> linesByCode = new HashMap<>();
    private int maxPerSecond = DEFAULT_MAX_PER_SECOND;
    private long currentSecond;

    /** Creates an appender that uses the monotonic system clock. Called by Logback. */
    public BoundedAppender() {
        this(Ticker.systemTicker());
    }

    BoundedAppender(Ticker ticker) {
        this.ticker = ticker;
        this.currentSecond = nowSeconds();
        setNeverBlock(true);
    }

    /**
     * Sets the maximum number of lines of one event in one second.
     *
     * @param lines the maximum number of lines
     */
    public void setMaxPerSecond(int lines) {
        maxPerSecond = lines;
    }

    /**
     * Returns the number of lines dropped because a queue had no room, over all appenders of this process.
     *
     * @return the number since the start of the process
     */
    public static long droppedLines() {
        return DROPPED.sum();
    }

    /**
     * Returns the number of lines suppressed by the rate limit, over all appenders of this process.
     *
     * @return the number since the start of the process
     */
    public static long suppressedLines() {
        return SUPPRESSED.sum();
    }

    @Override
    protected void append(ILoggingEvent event) {
        if (isWithinRateLimit(event)) {
            enqueue(event);
        } else {
            SUPPRESSED.increment();
        }
    }

    private void enqueue(ILoggingEvent event) {
        boolean full = getRemainingCapacity() == 0;
        boolean reserved = getRemainingCapacity() < getDiscardingThreshold() && isDiscardable(event);
        if (full || reserved) {
            // Not passed on: the writer may have made room in the meantime, and the line would be written as well.
            DROPPED.increment();
        } else {
            super.append(event);
        }
    }

    private synchronized boolean isWithinRateLimit(ILoggingEvent event) {
        if (nowSeconds() != currentSecond) {
            currentSecond = nowSeconds();
            summarize(event);
            linesByCode.clear();
        }
        String message = event.getFormattedMessage();
        String code = message.length() < CODE_LENGTH ? message : message.substring(0, CODE_LENGTH);
        return linesByCode.merge(code, 1, Integer::sum) <= maxPerSecond;
    }

    private void summarize(ILoggingEvent next) {
        linesByCode.forEach((code, lines) -> {
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
        summary.setLevel(Level.convertAnSLF4JLevel(LogEvent.LINES_SUPPRESSED.level()));
        summary.setMessage(EventLog.render(LogEvent.LINES_SUPPRESSED, code, lines));
        return summary;
    }

    private long nowSeconds() {
        return TimeUnit.NANOSECONDS.toSeconds(ticker.read());
    }
}
