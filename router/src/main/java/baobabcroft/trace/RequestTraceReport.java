package baobabcroft.trace;

import com.google.common.base.Joiner;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/** Formats request traces as human-readable text. Stateless. */
public final class RequestTraceReport {
    private static final Joiner LINES = Joiner.on('\n');
    private static final Joiner.MapJoiner PAIRS = Joiner.on(' ').withKeyValueSeparator('=');

    private RequestTraceReport() {}

    /**
     * Returns a request trace as text.
     *
     * @param trace the trace
     * @return several lines, without a trailing line break
     */
    public static String of(RequestTrace trace) {
        List<String> text = new ArrayList<>();
        text.add("request " + trace.request());
        text.add("cause   " + trace.cause());
        for (InstanceState state : trace.beliefs()) {
            text.add("belief  %s: %s %s, %d ms old"
                    .formatted(state.instance(), state.subject(), state.belief(), state.ageMillis()));
        }
        TreeSet<Entry> entries = new TreeSet<>();
        trace.lines().forEach(line -> entries.add(new Entry(line, '>', entries.size())));
        trace.nearby().forEach(line -> entries.add(new Entry(line, ' ', entries.size())));
        entries.forEach(entry -> text.add(entry.render()));
        return LINES.join(text);
    }

    /** An event with a mark that distinguishes the events of the request from nearby events. */
    private record Entry(LogLine line, char mark, int index) implements Comparable<Entry> {
        @Override
        public int compareTo(Entry other) {
            int byTime = Long.compare(line.epochMillis(), other.line.epochMillis());
            return byTime != 0 ? byTime : Integer.compare(index, other.index);
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
