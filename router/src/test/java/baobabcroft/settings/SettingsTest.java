package baobabcroft.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

final class SettingsTest {
    private static final String MINIMAL =
            """
            {
              "instance": {"name": "i-1", "failureDomain": "zagreb-a", "region": "zagreb"},
              "listen": {"callers": "127.0.0.1:7001", "admin": "127.0.0.1:7011", "peers": "127.0.0.1:7021"},
              "platform": {"storeUrls": ["http://127.0.0.1:7301"], "liveListUrl": "http://127.0.0.1:7302/targets"},
              "peers": {"sharedKey": "0123456789abcdef"}
            }
            """;

    @TempDir
    Path dir;

    private Settings load(String json) throws IOException {
        return Settings.load(Files.writeString(dir.resolve("settings.json"), json));
    }

    private SettingsException refused(String json) {
        return assertThrows(SettingsException.class, () -> load(json));
    }

    @Nested
    final class WhenValid {
        @Test
        void addsDefaultsForOmittedKeys() throws IOException {
            Settings settings = load(MINIMAL);
            assertEquals(new Settings.Timing(1500, 500, 1000, 60_000), settings.timing());
            assertEquals(new Settings.Limits(1_048_576, 16_384, 10_000, 2000, 60_000), settings.limits());
            assertEquals(new Settings.Drain(3000, 120_000), settings.drain());
            assertEquals(List.of(), settings.adminKeys());
            assertEquals(
                    new Settings.Platform(
                            List.of(URI.create("http://127.0.0.1:7301")),
                            URI.create("http://127.0.0.1:7302/targets"),
                            Optional.empty(),
                            1000),
                    settings.platform());
        }

        @Test
        void readsTheSharedKeyFromAFileNextToTheSettingsFile() throws IOException {
            Files.writeString(dir.resolve("shared.key"), "from-a-file-0123456789\n");
            Settings settings =
                    load(MINIMAL.replace("\"sharedKey\": \"0123456789abcdef\"", "\"sharedKeyFile\": \"shared.key\""));
            assertEquals(Secret.of("from-a-file-0123456789"), settings.peers().sharedKey());
        }

        @Test
        void hidesSecretsInToString() throws IOException {
            assertFalse(load(MINIMAL).toString().contains("0123456789abcdef"));
        }

        @ParameterizedTest
        @ValueSource(strings = {"kovacic", "mizukumi"})
        void loadsTheExamples(String deployment) {
            for (int i = 1; i <= 3; i++) {
                Path file = Path.of("..", "examples", deployment, "instance-" + i + ".json");
                assertEquals(7000 + i, Settings.load(file).listen().callers().getPort());
            }
        }
    }

    @Nested
    final class WhenFaulty {
        @ParameterizedTest
        @CsvSource(
                delimiter = '|',
                quoteCharacter = '`',
                textBlock =
                        """
                "region"                | "regoin"            | instance.regoin: unknown key
                "region"                | "regoin"            | did you mean 'region'?
                "region"                | "regoin"            | instance.region: is missing
                "name": "i-1"           | "name": 1           | instance.name: must be a string
                "127.0.0.1:7001"        | "localhost:7001"    | listen.callers: 'localhost:7001' is not an IP address
                "127.0.0.1:7001"        | "127.0.0.1:70011"   | listen.callers: '127.0.0.1:70011' is not an IP address
                "127.0.0.1:7001"        | "127.0.0.1:7011"    | listen: callers, admin and peers need an address each
                "http://127.0.0.1:7301" | "127.0.0.1:7301"    | platform.storeUrls.0: '127.0.0.1:7301' is not an http
                "http://127.0.0.1:7301" | ""                  | platform.storeUrls.0: '' is not an http
                ["http://127.0.0.1:7301"] | []                | platform.storeUrls: must have at least 1 items
                "storeUrls" | "timeoutMillis": "5s", "storeUrls" | timeoutMillis: must be an integer, a number
                "storeUrls"             | "timeoutSeconds": 1, "storeUrls" | platform.timeoutSeconds: unknown key
                "storeUrls" | "timeoutMillis": 1, "storeUrls" | platform.timeoutMillis: must have a minimum value of 10
                "0123456789abcdef"      | "too-short"         | peers.sharedKey: must be at least 16 characters long
                "sharedKey": "0123456789abcdef" |             | peers: must have one of sharedKey and sharedKeyFile
                "sharedKey": "0123456789abcdef" | "sharedKeyFile": "none" | peers.sharedKeyFile: cannot read file
                "peers": { | "timing": {"heartbeatMillis": 1000}, "peers": { | authorityMillis: must be more than twice
                "peers": {              | "limits": 5, "peers": { | limits: must be an object
                "peers": {              | "peers": {}, "peers": { | line 5, column
                }                       | ,                   | line
                """)
        void reportsThePathAndTheExpectedValue(String text, String replacement, String expected) {
            String json = MINIMAL.replaceFirst(
                    Pattern.quote(text), Matcher.quoteReplacement(replacement == null ? "" : replacement));
            SettingsException refused = refused(json);
            assertTrue(refused.getMessage().contains(expected), refused.getMessage());
            assertEquals(1, refused.exitStatus());
        }

        @Test
        void hidesSecretsInFaults() {
            assertFalse(refused(MINIMAL.replace("0123456789abcdef", "hidden-key"))
                    .getMessage()
                    .contains("hidden-key"));
        }

        @Test
        void throwsForAFileThatCannotBeRead() {
            SettingsException refused =
                    assertThrows(SettingsException.class, () -> Settings.load(dir.resolve("absent.json")));
            assertEquals(SettingsException.Code.SETTINGS_UNREADABLE, refused.code());
        }
    }

    @Nested
    final class Documentation {
        @Test
        void listsEveryKeyOfTheSchema() throws IOException {
            StringBuilder table = new StringBuilder();
            rows("", SettingsSchema.create().tree(), table);
            String page = Files.readString(Path.of("..", "docs", "SETTINGS.md"));
            assertTrue(page.contains(table), "docs/SETTINGS.md should contain this table:\n" + table);
        }

        private void rows(String prefix, JsonNode schema, StringBuilder table) {
            for (Map.Entry<String, JsonNode> entry : schema.path("properties").properties()) {
                String path = prefix + entry.getKey();
                JsonNode value = entry.getValue();
                if (value.has("description")) {
                    table.append(row(path, value, schema)).append('\n');
                }
                rows(path + ".", value, table);
                rows(path + "[].", value.path("items"), table);
            }
        }

        private String row(String path, JsonNode value, JsonNode parent) {
            boolean required = false;
            for (JsonNode name : parent.path("required")) {
                required |= path.endsWith("." + name.asText());
            }
            String fallback = value.has("default") ? "`" + value.get("default") + "`" : required ? "required" : "none";
            String range = value.has("minimum") ? ", " + value.get("minimum") + " to " + value.get("maximum") : "";
            return "| `%s` | %s%s | %s | %s |"
                    .formatted(
                            path,
                            value.get("type").asText(),
                            range,
                            fallback,
                            value.get("description").asText());
        }
    }
}
