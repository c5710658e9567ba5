package baobabcroft.trace;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.io.MoreFiles;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The events of instances' log files, in the order of their clocks.
 *
 * <p>A file holds the lines of one instance, named by the event {@code BC1001} or else by the file's name; or those of
 * several, if a collector has put {@code NAME:} or {@code [NAME]} before each line.
 *
 * @param lines the events
 * @param malformedLines lines that look structured and cannot be read
 */
public record LogFiles(ImmutableList<LogLine> lines, int malformedLines) {
    private static final Pattern COLLECTED = Pattern.compile("(?:.*[\\s\\[])?([A-Za-z][\\w.-]*)\\]?:?\\s*");
    private static final String STARTED = "BC1001";

    /** Checks the parts. */
    public LogFiles {
        checkNotNull(lines);
    }

    /**
     * Returns the events of some files.
     *
     * @param files the files
     * @return their events
     * @throws IOException if a file cannot be read
     */
    public static LogFiles read(List<Path> files) throws IOException {
        List<LogLine> lines = new ArrayList<>();
        int damaged = 0;
        for (Path file : files) {
            damaged += read(file, lines);
        }
        lines.sort(Comparator.comparingLong(LogLine::epochMillis));
        return new LogFiles(ImmutableList.copyOf(lines), damaged);
    }

    private static int read(Path file, List<LogLine> lines) throws IOException {
        List<LogLine> own = new ArrayList<>();
        Optional<String> started = Optional.empty();
        int damaged = 0;
        String fileName = MoreFiles.getNameWithoutExtension(file);
        // A killed process may leave half a character behind: such bytes are replaced, not refused.
        try (BufferedReader reader =
                new BufferedReader(new InputStreamReader(Files.newInputStream(file), StandardCharsets.UTF_8))) {
            for (String text = reader.readLine(); text != null; text = reader.readLine()) {
                int at = text.indexOf('{');
                if (at < 0) {
                    continue;
                }
                Optional<LogLine> line =
                        LogLine.parse(collectedFrom(text.substring(0, at)).orElse(fileName), text.substring(at));
                damaged += line.isEmpty() && !isOtherLogger(text) ? 1 : 0;
                line.ifPresent(own::add);
                if (started.isEmpty() && at == 0) {
                    started = line.filter(event -> event.code().equals(STARTED))
                            .flatMap(event -> event.value("instance"));
                }
            }
        }
        Optional<String> name = started;
        own.forEach(line ->
                lines.add(named(line, name.filter(unused -> line.instance().equals(fileName)))));
        return damaged;
    }

    /** Lines of libraries are whole, but hold no numbered event. */
    private static boolean isOtherLogger(String text) {
        return text.stripTrailing().endsWith("}") && !text.contains("\"BC");
    }

    private static Optional<String> collectedFrom(String prefix) {
        Matcher collected = COLLECTED.matcher(prefix);
        return collected.matches() ? Optional.of(collected.group(1)) : Optional.empty();
    }

    private static LogLine named(LogLine line, Optional<String> name) {
        return name.map(instance ->
                        new LogLine(instance, line.epochMillis(), line.code(), line.message(), line.values()))
                .orElse(line);
    }
}
