package baobabcroft.front;

import com.google.common.base.Splitter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** Descriptors that the deployment or the operating system allows the process. */
final class DescriptorLimit {
    private static final Path LIMITS = Path.of("/proc/self/limits");
    private static final String LINE = "Max open files";
    /** Descriptors of classes, listeners, the store and other instances. */
    private static final int RESERVED = 128;
    /** Where the limit is not stated; lower than the usual ones. */
    private static final int DEFAULT_LIMIT = 4_096;

    private static final Splitter COLUMNS = Splitter.on(' ').omitEmptyStrings();

    private DescriptorLimit() {}

    /**
     * Returns a share of the descriptors that are not reserved.
     *
     * @param share the share, more than 0 and at most 1
     * @param statedDescriptors descriptors that the deployment allows the process; 0 to ask the operating system
     */
    static int share(double share, int statedDescriptors) {
        int descriptors = statedDescriptors > 0 ? statedDescriptors : limitOfProcess();
        return Math.max(1, (int) (share * (descriptors - RESERVED)));
    }

    private static int limitOfProcess() {
        try (Stream<String> lines = Files.lines(LIMITS)) {
            return lines.filter(line -> line.startsWith(LINE))
                    .map(line ->
                            COLUMNS.splitToList(line.substring(LINE.length())).get(0))
                    .mapToInt(soft -> soft.matches("[0-9]{1,9}") ? Integer.parseInt(soft) : Integer.MAX_VALUE)
                    .findFirst()
                    .orElse(DEFAULT_LIMIT);
        } catch (IOException notStated) {
            return DEFAULT_LIMIT;
        }
    }
}
