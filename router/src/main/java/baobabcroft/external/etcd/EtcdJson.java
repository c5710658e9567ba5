package baobabcroft.external.etcd;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializer;
import com.google.protobuf.ByteString;
import java.io.IOException;

/**
 * Converts the service's messages to and from JSON: snake-case names, bytes in Base64, 64-bit integers as strings,
 * default values omitted. Thread-safe.
 */
public final class EtcdJson {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .defaultPropertyInclusion(
                    JsonInclude.Value.construct(JsonInclude.Include.NON_DEFAULT, JsonInclude.Include.ALWAYS))
            .addModule(wireModule())
            .build();

    private EtcdJson() {}

    private static SimpleModule wireModule() {
        return new SimpleModule()
                .addSerializer(Long.class, ToStringSerializer.instance)
                .addSerializer(Long.TYPE, ToStringSerializer.instance)
                .addSerializer(ByteString.class, new Base64Serializer())
                .addDeserializer(ByteString.class, new Base64Deserializer());
    }

    /**
     * Returns a message as JSON.
     *
     * @param message one of the records of {@link EtcdMessages}
     * @return one line of JSON
     */
    public static String write(Object message) {
        try {
            return MAPPER.writeValueAsString(message);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot serialize " + message.getClass(), e);
        }
    }

    /**
     * Returns the message that a JSON text represents.
     *
     * @param json the JSON text; anything after the first value is ignored
     * @param type the message's type
     * @param <T> the message's type
     * @return the message
     * @throws JsonProcessingException if the text is not valid JSON or does not match the type
     */
    public static <T> T read(String json, Class<T> type) throws JsonProcessingException {
        T message = MAPPER.readValue(json, type);
        if (message == null) {
            throw new JsonMappingException(null, "null instead of " + type);
        }
        return message;
    }

    private static final class Base64Serializer extends JsonSerializer<ByteString> {
        @Override
        public void serialize(ByteString value, JsonGenerator generator, SerializerProvider provider)
                throws IOException {
            generator.writeBinary(value.toByteArray());
        }

        @Override
        public boolean isEmpty(SerializerProvider provider, ByteString value) {
            return value.isEmpty();
        }
    }

    private static final class Base64Deserializer extends JsonDeserializer<ByteString> {
        @Override
        public ByteString deserialize(JsonParser parser, DeserializationContext context) throws IOException {
            return ByteString.copyFrom(parser.getBinaryValue());
        }

        @Override
        public ByteString getNullValue(DeserializationContext context) {
            return ByteString.EMPTY;
        }

        @Override
        public Object getAbsentValue(DeserializationContext context) {
            return ByteString.EMPTY;
        }
    }
}
