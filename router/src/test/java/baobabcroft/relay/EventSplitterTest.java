package baobabcroft.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EventSplitterTest {
    private static final String SEED = "20261204";

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static EventSplitter.Event only(String text) {
        List<EventSplitter.Event> events = new EventSplitter().feed(bytes(text));
        assertEquals(1, events.size());
        return events.get(0);
    }

    @Nested
    class Events {
        @Test
        void haveTheirIdAndData() {
            EventSplitter.Event event = only("id: 12\r\ndata: text\r\n\r\n");

            assertEquals(OptionalLong.of(12), event.id());
            assertTrue(event.hasData());
        }

        @Test
        void haveNoDataIfTheyAreCommentsOrEmpty() {
            for (String text :
                    List.of(": comment\n\n", "\n", "data:\n\n", "data: \r\n\r\n", "id: 3\n\n", "database: x\n\n")) {
                assertFalse(only(text).hasData(), text);
            }
        }

        @Test
        void haveNoIdIfItIsNotANumber() {
            for (String text :
                    List.of("id: x\n\n", "id:\n\n", "id: 1 2\n\n", "id: -1\n\n", "id: 1234567890123456789\n\n")) {
                assertEquals(OptionalLong.empty(), only(text).id(), text);
            }
        }
    }

    /** Streams that are whole, malformed or cut, in parts of any size. */
    @Property(tries = 2_000, seed = SEED)
    void partsDoNotChangeTheEvents(
            @ForAll("streams") String stream, @ForAll List<@IntRange(min = 1, max = 9) Integer> sizes) {
        byte[] all = bytes(stream);
        EventSplitter splitter = new EventSplitter();
        List<EventSplitter.Event> events = new ArrayList<>();
        int from = 0;
        for (int size : sizes) {
            int to = Math.min(all.length, from + size);
            events.addAll(splitter.feed(Arrays.copyOfRange(all, from, to)));
            from = to;
        }
        events.addAll(splitter.feed(Arrays.copyOfRange(all, from, all.length)));

        List<EventSplitter.Event> atOnce = new EventSplitter().feed(all);
        assertEquals(describe(atOnce), describe(events));
        int eventBytes = events.stream().mapToInt(event -> event.bytes().length).sum();
        assertEquals(all.length, eventBytes + splitter.pendingBytes());
    }

    private static List<String> describe(List<EventSplitter.Event> events) {
        return events.stream()
                .map(event -> new String(event.bytes(), StandardCharsets.UTF_8) + event.id() + event.hasData())
                .toList();
    }

    @Provide
    static Arbitrary<String> streams() {
        return Arbitraries.of(
                        "id: ", "1", "27", "data: ", "x", ":", "\n", "\r\n", "\n\n", "\r", "event: a", " ", "\t", "é")
                .list()
                .ofMaxSize(40)
                .map(parts -> String.join("", parts));
    }
}
