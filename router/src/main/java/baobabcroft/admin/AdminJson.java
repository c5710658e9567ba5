package baobabcroft.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;

/** JSON of the admin routes, for both ends of them. Thread-safe. */
public final class AdminJson {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .addModule(new Jdk8Module())
            .build();

    private AdminJson() {}

    /**
     * Writes a value.
     *
     * @param value a record of this package, or a list of them
     * @return its JSON
     */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot write as JSON: " + value, e);
        }
    }

    /**
     * Reads a value.
     *
     * @param json its JSON
     * @param type the record's type
     * @param <T> the record's type
     * @return the value
     * @throws IllegalArgumentException if the JSON is malformed or lacks a member
     */
    public static <T> T read(String json, Class<T> type) {
        try {
            T value = MAPPER.readValue(json, type);
            if (value == null) {
                throw new IllegalArgumentException("null is no " + type.getSimpleName());
            }
            return value;
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(e.getOriginalMessage(), e);
        }
    }
}
