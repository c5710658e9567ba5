package baobabcroft.relay;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** Cuts a server-sent event stream into whole events. Not thread-safe. */
final class EventSplitter {
    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private boolean lineEmpty = true;

    /**
     * One event.
     *
     * @param bytes its bytes with the empty line that ends it
     * @param id its number, if it has one
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Event(byte[] bytes, OptionalLong id) {}

    /** Takes bytes and returns the events that they complete. */
    List<Event> feed(byte[] data) {
        List<Event> events = new ArrayList<>();
        for (byte next : data) {
            pending.write(next);
            if (next == LINE_FEED) {
                if (lineEmpty) {
                    events.add(take());
                }
                lineEmpty = true;
            } else if (next != CARRIAGE_RETURN) {
                lineEmpty = false;
            }
        }
        return events;
    }

    /** Returns whether an event has begun and not ended. */
    boolean isMidEvent() {
        return pending.size() > 0;
    }

    /** Returns how many bytes of an event without an end are held. */
    int pendingBytes() {
        return pending.size();
    }

    private Event take() {
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
