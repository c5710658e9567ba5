package baobabcroft.soak;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A short run with a fixed seed; promises that depend on the machine's speed do not decide. */
class SoakRunTest {
    private static final String JAR = "../target/baobabcroft.jar";

    @TempDir
    private Path directory;

    private Report run(String... more) throws IOException, InterruptedException {
        String[] options = {
            "run",
            "--seed",
            "4",
            "--minutes",
            "0.7",
            "--instances",
            "3",
            "--untimed",
            "--jar",
            JAR,
            "--directory",
            directory.toString()
        };
        String[] all = new String[options.length + more.length];
        System.arraycopy(options, 0, all, 0, options.length);
        System.arraycopy(more, 0, all, options.length, more.length);
        PrintStream out = new PrintStream(OutputStream.nullOutputStream(), true, StandardCharsets.UTF_8);
        try (out) {
            return new Soak(SoakOptions.parse(all), out).run();
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
