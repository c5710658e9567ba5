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
 * One event in the log of an instance.
 *
 * @param instance name of the instance that logged it
 * @param epochMillis wall-clock time of the event on that instance, in milliseconds since the epoch
 * @param code code of the event, such as {@code BC7003}
 * @param message message of the event, without its values
 * @param values values of the event by key, in logged order
 */
public record LogLine(
        String instance, long epochMillis, String code, String message, ImmutableMap<String, String> values) {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Pattern EVENT = Pattern.compile("(BC[0-9]{4}) ([^=]*?)((?: [A-Za-z]+=.*)?)", Pattern.DOTALL);
    private static final Pattern PAIR =
            Pattern.compile(" ([A-Za-z]+)=(\"(?:[^\"\\\\]|\\\\.)*\"|[^ ]*)", Pattern.DOTALL);

    /** Checks the components. */
    public LogLine {
        checkNotNull(instance);
        checkNotNull(code);
        checkNotNull(message);
        checkNotNull(values);
    }

    /**
     * Returns the event in a structured log line.
     *
     * @param instance name of the instance that logged it
     * @param json one JSON object with {@code timestamp} and {@code message}
     * @return the event, or empty if the line is malformed or contains no numbered event
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
        ImmutableMap<String, String> values = parseValues(event.group(3));
        long happenedAtMillis = line.path("timestamp").asLong() - logDelayMillis(values);
        return Optional.of(new LogLine(instance, happenedAtMillis, event.group(1), event.group(2), values));
    }

    /**
     * Returns the time from an event to its log line, in milliseconds. The events of a request are logged when it ends,
     * with this time as a value.
     */
    private static long logDelayMillis(Map<String, String> values) {
        return Optional.ofNullable(Longs.tryParse(values.getOrDefault("agoMillis", "0")))
                .orElse(0L);
    }

    private static ImmutableMap<String, String> parseValues(String text) {
        Map<String, String> values = new LinkedHashMap<>();
        Matcher pair = PAIR.matcher(text);
        while (pair.find()) {
            values.put(pair.group(1), unquote(pair.group(2)));
        }
        return ImmutableMap.copyOf(values);
    }

    private static String unquote(String value) {
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
     * Returns the value of a key.
     *
     * @param key the key, such as {@code request}
     * @return the value, or empty if the event has no such key
     */
    public Optional<String> value(String key) {
        return Optional.ofNullable(values.get(key));
    }

    /**
     * Returns whether a key has the expected value.
     *
     * @param key the key, such as {@code request}
     * @param expected the expected value
     * @return true if the event has this key with this value
     */
    public boolean has(String key, String expected) {
        return expected.equals(values.get(key));
    }
}
