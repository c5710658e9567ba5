package baobabcroft.log;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import com.google.common.base.CharMatcher;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs numbered events as {@code BC1001 message key=value ...}. Values with whitespace, quotes, backslashes, equals
 * signs or control characters are quoted as in JSON, so that an event stays on one line. Thread-safe.
 */
public final class EventLog {
    private static final String MISSING = "(missing)";
    private static final CharMatcher NEEDS_QUOTES =
            CharMatcher.whitespace().or(CharMatcher.anyOf("\"=\\")).or(CharMatcher.javaIsoControl());

    private final Logger logger;

    private EventLog(Logger logger) {
        this.logger = checkNotNull(logger);
    }

    /**
     * Returns an event log whose logger has the name of a class.
     *
     * @param owner the class that logs the events
     * @return the event log
     */
    public static EventLog of(Class<?> owner) {
        return new EventLog(LoggerFactory.getLogger(owner));
    }

    /**
     * Logs an event.
     *
     * @param event the event
     * @param values its values, in the order of its keys
     */
    public void log(LogEvent event, Object... values) {
        if (logger.isEnabledForLevel(event.level())) {
            logger.atLevel(event.level()).log(render(event, values));
        }
    }

    /**
     * Logs an event with the exception that caused it.
     *
     * @param event the event
     * @param cause the exception, logged with its stack trace
     * @param values its values, in the order of its keys
     */
    public void logFailure(LogEvent event, Throwable cause, Object... values) {
        if (logger.isEnabledForLevel(event.level())) {
            logger.atLevel(event.level()).setCause(cause).log(render(event, values));
        }
    }

    /** Returns an event as one line. Keys without a value get a placeholder. */
    static String render(LogEvent event, Object... values) {
        StringBuilder line = new StringBuilder(event.code()).append(' ').append(event.message());
        for (int i = 0; i < event.keys().size(); i++) {
            Object value = i < values.length ? values[i] : MISSING;
            line.append(' ').append(event.keys().get(i)).append('=').append(quoteIfNeeded(String.valueOf(value)));
        }
        return line.toString();
    }

    private static String quoteIfNeeded(String text) {
        if (!text.isEmpty() && NEEDS_QUOTES.matchesNoneOf(text)) {
            return text;
        }
        return "\"" + new String(JsonStringEncoder.getInstance().quoteAsString(text)) + "\"";
    }
}
