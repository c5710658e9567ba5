package baobabcroft.soak;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.base.Throwables;
import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/**
 * Arguments of a run.
 *
 * @param seed seed of all random choices
 * @param durationMillis length of the run, in milliseconds
 * @param instances number of instances
 * @param storeMegabitsPerSecond rate at which an instance receives from the store
 * @param jar the platform's program
 * @param directory where logs and the report are written
 * @param untimed whether only promises that do not depend on the machine's speed decide
 * @param kinds kinds of faults to draw from
 * @param plant fault of the stand-ins that the oracle is to find, for tests of the oracle
 */
record SoakOptions(
        long seed,
        long durationMillis,
        int instances,
        double storeMegabitsPerSecond,
        Path jar,
        Path directory,
        boolean untimed,
        Set<FaultKind> kinds,
        Plant plant) {
    private static final int MAX_INSTANCES = 200;
    private static final long INSTANCE_MEMORY_BYTES = 220L << 20;
    private static final double MAX_MEMORY_SHARE = 0.5;
    private static final double MILLIS_PER_MINUTE = 60_000;
    /** Shorter runs leave no time between the first contact and the quiet end. */
    private static final double MIN_MINUTES = 0.5;

    /** Thrown for arguments that cannot be used. The message is one line for the user. */
    static final class UsageException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        UsageException(String message) {
            super(message);
        }
    }

    /**
     * Returns the options in an argument list.
     *
     * @throws UsageException if an argument is unknown, malformed or out of range
     */
    static SoakOptions parse(String... args) {
        OptionParser parser = new OptionParser();
        OptionSpec<Long> seed =
                parser.accepts("seed").withRequiredArg().ofType(Long.class).defaultsTo(1L);
        OptionSpec<Double> minutes =
                parser.accepts("minutes").withRequiredArg().ofType(Double.class).defaultsTo(1.0);
        OptionSpec<Integer> instances = parser.accepts("instances")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(3);
        OptionSpec<Double> storeMegabits = parser.accepts("store-megabits")
                .withRequiredArg()
                .ofType(Double.class)
                .defaultsTo(10.0);
        OptionSpec<String> jar = parser.accepts("jar").withRequiredArg().defaultsTo("target/baobabcroft.jar");
        OptionSpec<String> directory =
                parser.accepts("directory").withRequiredArg().defaultsTo("run/soak");
        OptionSpec<Void> untimed = parser.accepts("untimed");
        OptionSpec<FaultKind> kinds = parser.accepts("faults")
                .withRequiredArg()
                .withValuesSeparatedBy(',')
                .withValuesConvertedBy(new EnumConverter<>(FaultKind.class));
        OptionSpec<Plant> plant = parser.accepts("plant")
                .withRequiredArg()
                .withValuesConvertedBy(new EnumConverter<>(Plant.class))
                .defaultsTo(Plant.NONE);
        try {
            OptionSet set = parser.parse(args);
            checkArgument(set.nonOptionArguments().equals(List.of("run")), "usage: soak run [options]");
            Set<FaultKind> chosen = set.has(kinds) ? Set.copyOf(kinds.values(set)) : EnumSet.allOf(FaultKind.class);
            return validated(new SoakOptions(
                    seed.value(set),
                    (long) (minutes.value(set) * MILLIS_PER_MINUTE),
                    instances.value(set),
                    storeMegabits.value(set),
                    Path.of(jar.value(set)),
                    Path.of(directory.value(set)),
                    set.has(untimed),
                    chosen,
                    plant.value(set)));
        } catch (OptionException | IllegalArgumentException unusable) {
            // The cause of a value that cannot be converted names the values that can.
            throw new UsageException(Throwables.getRootCause(unusable).getMessage());
        }
    }

    private static SoakOptions validated(SoakOptions options) {
        checkArgument(
                options.durationMillis >= MIN_MINUTES * MILLIS_PER_MINUTE,
                "--minutes must be at least %s, was %s",
                MIN_MINUTES,
                options.durationMillis / MILLIS_PER_MINUTE);
        checkArgument(
                options.instances >= 2 && options.instances <= MAX_INSTANCES,
                "--instances must be from 2 to %s, was %s",
                MAX_INSTANCES,
                options.instances);
        checkArgument(
                options.storeMegabitsPerSecond > 0,
                "--store-megabits must be positive, was %s",
                options.storeMegabitsPerSecond);
        long needed = options.instances * INSTANCE_MEMORY_BYTES;
        checkArgument(
                needed <= MAX_MEMORY_SHARE * memoryBytes(),
                "--instances %s need %s MB, more than half of this machine's memory",
                options.instances,
                needed >> 20);
        checkArgument(Files.isRegularFile(options.jar), "--jar %s is not a file; build it first", options.jar);
        return options;
    }

    private static long memoryBytes() {
        return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean()).getTotalMemorySize();
    }

    /** Returns an empty directory for the run's files. */
    Path createDirectory() throws IOException {
        return Files.createDirectories(directory.resolve("seed-" + seed));
    }
}
