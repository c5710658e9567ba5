package baobabcroft.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SoakOptionsTest {
    @TempDir
    private Path directory;

    private Path jar;

    @BeforeEach
    void createJar() throws IOException {
        jar = Files.createFile(directory.resolve("program.jar"));
    }

    private SoakOptions parse(String... options) {
        return SoakOptions.parse(Stream.concat(Stream.of("run", "--jar", jar.toString()), Stream.of(options))
                .toArray(String[]::new));
    }

    @Nested
    class Parse {
        @Test
        void readsOptions() {
            SoakOptions options =
                    parse("--seed", "7", "--minutes", "1.5", "--instances", "9", "--faults", "link-cut,burst");

            assertEquals(7, options.seed());
            assertEquals(90_000, options.durationMillis());
            assertEquals(9, options.instances());
            assertEquals(Set.of(FaultKind.LINK_CUT, FaultKind.BURST), options.kinds());
        }

        @ParameterizedTest(name = "{0} {1}")
        @CsvSource({
            "--seed, one",
            "--minutes, -1",
            "--minutes, 0.1",
            "--instances, 1",
            "--instances, 201",
            "--faults, flood",
            "--plant, tree",
            "--jar, missing.jar",
            "--unknown, 1"
        })
        void rejectsBadInputInOneLine(String option, String value) {
            SoakOptions.UsageException rejected =
                    assertThrows(SoakOptions.UsageException.class, () -> parse(option, value));

            assertTrue(
                    !rejected.getMessage().isEmpty() && !rejected.getMessage().contains("\n"));
        }

        @Test
        void namesTheKindsOfFaults() {
            SoakOptions.UsageException rejected =
                    assertThrows(SoakOptions.UsageException.class, () -> parse("--faults", "flood"));

            assertTrue(rejected.getMessage().contains("link-cut"), rejected::getMessage);
        }

        @Test
        void rejectsOtherCommands() {
            assertThrows(SoakOptions.UsageException.class, () -> SoakOptions.parse("walk"));
        }
    }
}
