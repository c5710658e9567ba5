package baobabcroft.settings;

import baobabcroft.common.NearestWord;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.base.Joiner;
import com.google.common.collect.ImmutableList;
import com.google.common.io.Resources;
import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import com.networknt.schema.ApplyDefaultsStrategy;
import com.networknt.schema.ExecutionContext;
import com.networknt.schema.Format;
import com.networknt.schema.JsonMetaSchema;
import com.networknt.schema.JsonNodePath;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SchemaValidatorsConfig;
import com.networknt.schema.SpecVersion.VersionFlag;
import com.networknt.schema.ValidationMessage;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/** Validates a settings tree against the JSON schema and adds defaults. Thread-safe. */
final class SettingsSchema {
    private static final String RESOURCE = "baobabcroft/settings/settings-schema.json";
    private static final int MAX_PORT = 65_535;

    private final JsonNode tree;
    private final JsonSchema schema;

    private SettingsSchema(JsonNode tree) {
        this.tree = tree;
        this.schema = compile(tree);
    }

    static SettingsSchema create() {
        try {
            return new SettingsSchema(new ObjectMapper().readTree(Resources.getResource(RESOURCE)));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static JsonSchema compile(JsonNode tree) {
        JsonMetaSchema base = JsonMetaSchema.getV202012();
        JsonMetaSchema metaSchema = JsonMetaSchema.builder(base.getIri(), base)
                .format(new TextFormat("ip-port", SettingsSchema::isIpAndPort))
                .format(new TextFormat("http-url", SettingsSchema::isHttpUrl))
                .build();
        SchemaValidatorsConfig config = SchemaValidatorsConfig.builder()
                .formatAssertionsEnabled(true)
                .applyDefaultsStrategy(new ApplyDefaultsStrategy(true, false, false))
                .build();
        return JsonSchemaFactory.builder(JsonSchemaFactory.getInstance(VersionFlag.V202012))
                .metaSchema(metaSchema)
                .build()
                .getSchema(tree, config);
    }

    private record TextFormat(String name, Predicate<String> test) implements Format {
        @Override
        public String getName() {
            return name;
        }

        @Override
        public boolean matches(ExecutionContext context, String value) {
            return test.test(value);
        }
    }

    private static boolean isIpAndPort(String text) {
        try {
            HostAndPort address = HostAndPort.fromString(text);
            return address.hasPort() && InetAddresses.isInetAddress(address.getHost());
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    private static boolean isHttpUrl(String text) {
        try {
            URI url = URI.create(text);
            boolean http = "http".equals(url.getScheme()) || "https".equals(url.getScheme());
            return http && url.getHost() != null && url.getPort() <= MAX_PORT && url.getUserInfo() == null;
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    /** Returns the schema as JSON. */
    JsonNode tree() {
        return tree;
    }

    /** Adds defaults to a settings tree and returns its faults, ordered by path. */
    ImmutableList<SettingsFault> check(JsonNode settings) {
        Set<ValidationMessage> messages = schema.walk(settings, true).getValidationMessages();
        return messages.stream()
                .map(this::fault)
                .distinct()
                .sorted((a, b) -> a.path().compareTo(b.path()))
                .collect(ImmutableList.toImmutableList());
    }

    private SettingsFault fault(ValidationMessage message) {
        List<String> path = path(message.getInstanceLocation());
        if (message.getProperty() != null) {
            List<String> inner = new ArrayList<>(path);
            inner.add(message.getProperty());
            return new SettingsFault(join(inner), describe(message, path));
        }
        return new SettingsFault(join(path), describe(message, path));
    }

    private String describe(ValidationMessage message, List<String> path) {
        return switch (message.getType()) {
            case "additionalProperties" -> unknownKey(message.getProperty(), path);
            case "required" -> "is missing";
            case "type" -> "must be " + withArticle(schemaAt(path).path("type").asText()) + unitHint(path);
            case "format" -> "'" + message.getInstanceNode().asText() + "' is not " + formatHint(path);
            case "pattern" -> "does not match " + schemaAt(path).path("pattern").asText();
            default -> libraryMessage(message);
        };
    }

    private String unknownKey(String key, List<String> path) {
        List<String> known = new ArrayList<>();
        schemaAt(path).path("properties").fieldNames().forEachRemaining(known::add);
        String hint = NearestWord.find(key, known)
                .map(word -> "; did you mean '" + word + "'?")
                .orElse("");
        return "unknown key; known keys are " + Joiner.on(", ").join(known) + hint;
    }

    private static String withArticle(String type) {
        boolean vowel = type.startsWith("i") || type.startsWith("o") || type.startsWith("a");
        return (vowel ? "an " : "a ") + type;
    }

    private static String unitHint(List<String> path) {
        String key = path.isEmpty() ? "" : path.get(path.size() - 1);
        if (key.endsWith("Millis")) {
            return ", a number of milliseconds without quotes";
        }
        return key.endsWith("Bytes") ? ", a number of bytes without quotes" : "";
    }

    private String formatHint(List<String> path) {
        return switch (schemaAt(path).path("format").asText()) {
            case "ip-port" -> "an IP address and port, such as 127.0.0.1:7001";
            default -> "an http or https URL without user info, such as http://127.0.0.1:7301";
        };
    }

    private static String libraryMessage(ValidationMessage message) {
        String text = message.getMessage();
        int colon = text.indexOf(": ");
        return colon < 0 ? text : text.substring(colon + 2);
    }

    private JsonNode schemaAt(List<String> path) {
        JsonNode node = tree;
        for (String step : path) {
            node = node.has("items")
                    ? node.path("items")
                    : node.path("properties").path(step);
        }
        return node;
    }

    private static List<String> path(JsonNodePath location) {
        List<String> path = new ArrayList<>();
        for (int i = 0; i < location.getNameCount(); i++) {
            path.add(String.valueOf(location.getElement(i)));
        }
        return path;
    }

    private static String join(List<String> path) {
        return Joiner.on('.').join(path);
    }
}
