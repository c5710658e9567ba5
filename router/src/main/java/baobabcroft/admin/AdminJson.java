package baobabcroft.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;

/** JSON serialization of the admin API's bodies, for server and client. Thread-safe. */
public final class AdminJson {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .addModule(new Jdk8Module())
            .build();

    private AdminJson() {}

    /**
     * Returns the JSON of a value.
     *
     * @param value a record of this package, or a list of them
     * @return the JSON text
     * @throws IllegalArgumentException if the value cannot be serialized
     */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot serialize as JSON: " + value, e);
        }
    }

    /**
     * Returns the value that a JSON text represents.
     *
     * @param json the JSON text
     * @param type a record type of this package
     * @param <T> the same type
     * @return the value, never null
     * @throws IllegalArgumentException if the JSON is malformed, is {@code null}, or lacks a required member
     */
    public static <T> T read(String json, Class<T> type) {
        try {
            T value = MAPPER.readValue(json, type);
            if (value == null) {
                throw new IllegalArgumentException("JSON null where an object was expected: " + type.getSimpleName());
            }
            return value;
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(e.getOriginalMessage(), e);
        }
    }
}
