package baobabcroft.trace;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableMap;
import com.google.common.primitives.Longs;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One event of an instance's log.
 *
 * @param instance the instance that wrote it
 * @param epochMillis its wall clock when it happened, in milliseconds since the epoch
 * @param code the event's number, as {@code BC7003}
 * @param message the event's words
 * @param values the event's values by key, in their order
 */
public record LogLine(
        String instance, long epochMillis, String code, String message, ImmutableMap<String, String> values) {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Pattern EVENT = Pattern.compile("(BC[0-9]{4}) ([^=]*?)((?: [A-Za-z]+=.*)?)", Pattern.DOTALL);
    private static final Pattern PAIR =
            Pattern.compile(" ([A-Za-z]+)=(\"(?:[^\"\\\\]|\\\\.)*\"|[^ ]*)", Pattern.DOTALL);

    /** Checks the parts. */
    public LogLine {
        checkNotNull(instance);
        checkNotNull(code);
        checkNotNull(message);
        checkNotNull(values);
    }

    /**
     * Returns the event that a line of structured log holds.
     *
     * @param instance the instance that wrote it
     * @param json one JSON object with {@code timestamp} and {@code message}
     * @return the event, or empty if the line is damaged or holds no numbered event
     */
    static Optional<LogLine> parse(String instance, String json) {
        JsonNode line;
        try {
            line = JSON.readTree(json);
        } catch (JsonProcessingException damaged) {
            return Optional.empty();
        }
        if (line == null || !line.path("timestamp").isNumber()) {
            return Optional.empty();
        }
        String text = line.path("formattedMessage").asText(line.path("message").asText());
        Matcher event = EVENT.matcher(text);
        if (!event.matches()) {
            return Optional.empty();
        }
        ImmutableMap<String, String> values = pairs(event.group(3));
        long happenedAtMillis = line.path("timestamp").asLong() - agoMillis(values);
        return Optional.of(new LogLine(instance, happenedAtMillis, event.group(1), event.group(2), values));
    }

    /** Lines of a request are held until its end; they say how long ago they happened. */
    private static long agoMillis(Map<String, String> values) {
        return Optional.ofNullable(Longs.tryParse(values.getOrDefault("agoMillis", "0")))
                .orElse(0L);
    }

    private static ImmutableMap<String, String> pairs(String text) {
        Map<String, String> values = new LinkedHashMap<>();
        Matcher pair = PAIR.matcher(text);
        while (pair.find()) {
            values.put(pair.group(1), unquoted(pair.group(2)));
        }
        return ImmutableMap.copyOf(values);
    }

    private static String unquoted(String value) {
        if (!value.startsWith("\"")) {
            return value;
        }
        try {
            return JSON.readValue(value, String.class);
        } catch (JsonProcessingException damaged) {
            return value;
        }
    }

    /**
     * Returns a value.
     *
     * @param key its key
     * @return the value, or empty if the event has none of that key
     */
    public Optional<String> value(String key) {
        return Optional.ofNullable(values.get(key));
    }

    /**
     * Returns whether the event has a value.
     *
     * @param key its key
     * @param expected the value
     * @return true if it is that
     */
    public boolean has(String key, String expected) {
        return expected.equals(values.get(key));
    }
}
