package baobabcroft.soak;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A short run with a fixed seed; promises that depend on the machine's speed do not decide. */
class SoakRunTest {
    private static final String JAR = "../target/baobabcroft.jar";

    @TempDir
    private Path directory;

    private Report run(String... more) throws IOException, InterruptedException {
        List<String> options = ImmutableList.<String>builder()
                .add("run", "--seed", "4", "--instances", "3", "--untimed")
                .add("--jar", JAR, "--directory", directory.toString())
                .add(more)
                .build();
        PrintStream out = new PrintStream(OutputStream.nullOutputStream(), true, StandardCharsets.UTF_8);
        try (out) {
            return new Soak(SoakOptions.parse(options.toArray(String[]::new)), out).run();
        }
    }

    @Test
    void promisesHold() throws Exception {
        Report report = run("--minutes", "0.7");

        assertFalse(report.isBroken(), report::text);
        assertTrue(Files.size(directory.resolve("seed-4/report.png")) > 0);
    }

    @Test
    void plantedFaultIsFound() throws Exception {
        Report report = run("--plant", "double-run", "--minutes", "0.5", "--faults", "endpoint-silence");

        assertTrue(report.isBroken(), report::text);
    }
}
