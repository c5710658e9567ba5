package baobabcroft.standin.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;

/** JSON mapping of the stand-ins: snake-case names, null members omitted, unknown members ignored. Thread-safe. */
public final class StandinJson {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .serializationInclusion(JsonInclude.Include.NON_NULL)
            .build();

    private StandinJson() {}

    /**
     * Returns a value as JSON.
     *
     * @param value the value to serialize
     * @return JSON without line breaks
     * @throws IllegalArgumentException if the value cannot be serialized
     */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot serialize " + value.getClass(), e);
        }
    }

    /**
     * Returns a value parsed from JSON.
     *
     * @param json the JSON text
     * @param type the value's type
     * @param <T> the value's type
     * @return the parsed value
     * @throws JsonProcessingException if the text is not valid JSON or does not match the type
     */
    public static <T> T read(String json, Class<T> type) throws JsonProcessingException {
        return MAPPER.readValue(json, type);
    }
}
