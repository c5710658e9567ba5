package baobabcroft.trace;

import com.google.common.base.Joiner;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/** Text form of stories, for people to read. Stateless. */
public final class RequestTraceReport {
    private static final Joiner LINES = Joiner.on('\n');
    private static final Joiner.MapJoiner PAIRS = Joiner.on(' ').withKeyValueSeparator('=');

    private RequestTraceReport() {}

    /**
     * Returns a story as text.
     *
     * @param story the story
     * @return several lines, without an end of line behind the last
     */
    public static String of(RequestTrace story) {
        List<String> text = new ArrayList<>();
        text.add("request " + story.request());
        text.add("cause   " + story.cause());
        for (Belief belief : story.beliefs()) {
            text.add("belief  %s: %s %s, %d ms old"
                    .formatted(belief.instance(), belief.subject(), belief.belief(), belief.ageMillis()));
        }
        TreeSet<Entry> entries = new TreeSet<>();
        story.lines().forEach(line -> entries.add(new Entry(line, '>', entries.size())));
        story.nearby().forEach(line -> entries.add(new Entry(line, ' ', entries.size())));
        entries.forEach(entry -> text.add(entry.render()));
        return LINES.join(text);
    }

    /** A line with its mark: the request's own lines stand out among those nearby. */
    private record Entry(LogLine line, char mark, int number) implements Comparable<Entry> {
        @Override
        public int compareTo(Entry other) {
            int byTime = Long.compare(line.epochMillis(), other.line.epochMillis());
            return byTime != 0 ? byTime : Integer.compare(number, other.number);
        }

        private String render() {
            return "%s %s %-16s %s %s %s"
                    .formatted(
                            mark,
                            Instant.ofEpochMilli(line.epochMillis()),
                            line.instance(),
                            line.code(),
                            line.message(),
                            PAIRS.join(line.values()))
                    .stripTrailing();
        }
    }
}
