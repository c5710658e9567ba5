package baobabcroft.relay;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** Splits a stream of server-sent events into complete events. Not thread-safe. */
final class EventSplitter {
    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private boolean lineEmpty = true;

    /**
     * A complete event.
     *
     * @param bytes the bytes of the event, including the empty line that ends it
     * @param id the event id; empty if there is none or it is not a number
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Event(byte[] bytes, OptionalLong id) {}

    /** Adds received bytes and returns the events that they complete, in order. */
    List<Event> feed(byte[] data) {
        List<Event> events = new ArrayList<>();
        for (byte next : data) {
            pending.write(next);
            if (next == LINE_FEED) {
                if (lineEmpty) {
                    events.add(completeEvent());
                }
                lineEmpty = true;
            } else if (next != CARRIAGE_RETURN) {
                lineEmpty = false;
            }
        }
        return events;
    }

    /** Returns whether part of an event has been received. */
    boolean hasPartialEvent() {
        return pending.size() > 0;
    }

    /** Returns the number of bytes buffered for the incomplete event. */
    int pendingBytes() {
        return pending.size();
    }

    private Event completeEvent() {
        byte[] bytes = pending.toByteArray();
        pending.reset();
        return new Event(bytes, idOf(new String(bytes, StandardCharsets.UTF_8)));
    }

    private static OptionalLong idOf(String event) {
        for (String line : event.split("\r?\n", -1)) {
            if (line.startsWith(ID_FIELD)) {
                return parse(line.substring(ID_FIELD.length()).strip());
            }
        }
        return OptionalLong.empty();
    }

    private static OptionalLong parse(String text) {
        boolean digits = !text.isEmpty() && text.length() < 19 && text.chars().allMatch(Character::isDigit);
        return digits ? OptionalLong.of(Long.parseLong(text)) : OptionalLong.empty();
    }
}
