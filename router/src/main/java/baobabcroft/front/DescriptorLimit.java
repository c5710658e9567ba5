package baobabcroft.front;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** Descriptors that the operating system allows the process. */
final class DescriptorLimit {
    private static final Path LIMITS = Path.of("/proc/self/limits");
    private static final String LINE = "Max open files";
    /** Descriptors of classes, listeners, the store and other instances. */
    private static final int RESERVED = 128;
    /** Where the limit is not stated; lower than the usual ones. */
    private static final int DEFAULT_LIMIT = 4_096;

    private DescriptorLimit() {}

    /**
     * Returns a share of the descriptors that are not reserved.
     *
     * @param share the share, more than 0 and at most 1
     */
    static int share(double share) {
        return Math.max(1, (int) (share * (limit() - RESERVED)));
    }

    private static int limit() {
        try (Stream<String> lines = Files.lines(LIMITS)) {
            return lines.filter(line -> line.startsWith(LINE))
                    .map(line -> line.substring(LINE.length()).trim().split(" +", 2)[0])
                    .mapToInt(soft -> soft.matches("[0-9]{1,9}") ? Integer.parseInt(soft) : Integer.MAX_VALUE)
                    .findFirst()
                    .orElse(DEFAULT_LIMIT);
        } catch (IOException notStated) {
            return DEFAULT_LIMIT;
        }
    }
}
