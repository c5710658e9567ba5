package baobabcroft.model;

import com.google.common.base.Joiner;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import tlc2.TLC;

/**
 * Runs the TLC model checker in a separate process on a specification in {@code src/test/tla}.
 *
 * <p>Not thread-safe.
 */
public final class TlcRunner {
    private static final Path SPECIFICATIONS = Path.of("src/test/tla");
    private static final Pattern STATES = Pattern.compile("(\\d+) states generated, (\\d+) distinct states found");
    private static final Pattern VIOLATED =
            Pattern.compile("(?:Invariant|Action property|Temporal property) (\\w+) is violated");
    private static final int WORKERS = 4;

    private final String module;
    private final Map<String, String> constants = new TreeMap<>();
    private final List<String> lines = new ArrayList<>();
    private long timeoutSeconds = 240;

    /** Result of a TLC run. */
    public sealed interface Outcome {
        /** All reachable states satisfy all properties. */
        record Holds(long distinctStates) implements Outcome {}

        /** A behaviour violates a property; the trace ends in the violating state. */
        record Violated(String property, String trace) implements Outcome {}

        /** TLC timed out or failed without checking all states. */
        record Failed(String output) implements Outcome {}
    }

    private TlcRunner(String module) {
        this.module = module;
    }

    /** Returns a runner for a module, without constants or properties. */
    public static TlcRunner of(String module) {
        return new TlcRunner(module);
    }

    /** Sets a constant to a value in the syntax of TLC configuration files. */
    public TlcRunner constant(String name, String value) {
        constants.put(name, value);
        return this;
    }

    /** Adds a line to the TLC configuration, for example an invariant. */
    public TlcRunner line(String line) {
        lines.add(line);
        return this;
    }

    /** Sets the timeout of the TLC process, in seconds. The default is 240 s. */
    public TlcRunner timeoutSeconds(long seconds) {
        timeoutSeconds = seconds;
        return this;
    }

    /** Runs TLC in the given directory, which must be empty, and returns the result. */
    public Outcome run(Path directory) {
        try {
            Files.copy(SPECIFICATIONS.resolve(module + ".tla"), directory.resolve(module + ".tla"));
            Files.writeString(directory.resolve(module + ".cfg"), configuration());
            Path output = directory.resolve("output.txt");
            Process process = new ProcessBuilder(command(directory))
                    .directory(directory.toFile())
                    .redirectErrorStream(true)
                    .redirectOutput(output.toFile())
                    .start();
            boolean ended = process.waitFor(timeoutSeconds, TimeUnit.SECONDS);
            process.destroyForcibly();
            return parseOutcome(ended, Files.readString(output));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    private String configuration() {
        List<String> all = new ArrayList<>();
        all.add("SPECIFICATION Spec");
        constants.forEach((name, value) -> all.add("CONSTANT " + name + " = " + value));
        all.addAll(lines);
        return Joiner.on('\n').join(all) + '\n';
    }

    private ImmutableList<String> command(Path directory) {
        Path java = Path.of(System.getProperty("java.home"), "bin", "java");
        String jar =
                TLC.class.getProtectionDomain().getCodeSource().getLocation().getPath();
        return ImmutableList.of(
                java.toString(),
                "-Xmx2g",
                "-XX:+UseParallelGC",
                // TLC unpacks its modules here and deletes them at its end, which must not be those of another process.
                "-Djava.io.tmpdir=" + directory,
                "-cp",
                jar,
                TLC.class.getName(),
                "-workers",
                Integer.toString(WORKERS),
                "-nowarning",
                "-deadlock",
                module);
    }

    private static Outcome parseOutcome(boolean ended, String output) {
        Matcher violated = VIOLATED.matcher(output);
        if (ended && violated.find()) {
            return new Outcome.Violated(violated.group(1), output.substring(violated.start()));
        }
        if (!ended || !output.contains("No error has been found")) {
            return new Outcome.Failed(output);
        }
        Matcher states = STATES.matcher(output);
        long distinct = 0;
        while (states.find()) {
            distinct = Long.parseLong(states.group(2));
        }
        return new Outcome.Holds(distinct);
    }
}
