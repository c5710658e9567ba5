package baobabcroft.relay;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;

/** Splits a stream of server-sent events into complete events. Not thread-safe. */
final class EventSplitter {
    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final byte COMMENT = ':';
    private static final byte[] DATA_FIELD = {'d', 'a', 't', 'a', ':'};
    private static final byte[] ID_FIELD = {'i', 'd', ':'};
    /** Longest id that fits into a {@code long} for certain. */
    private static final int MAX_ID_DIGITS = 18;

    private static final int DECIMAL = 10;

    /** Size above which the buffer is not kept between events, in bytes. */
    private static final int MAX_KEPT_BYTES = 16 << 10;

    private byte[] pending = new byte[0];
    private int size;
    private boolean lineEmpty = true;

    /**
     * A complete event.
     *
     * @param bytes the bytes of the event, including the empty line that ends it
     * @param id the event id; empty if there is none or it is not a number
     * @param hasData whether the event carries data; comments and empty events do not
     * @param isComment whether all lines are comments or empty
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Event(byte[] bytes, OptionalLong id, boolean hasData, boolean isComment) {}

    /** Adds received bytes and returns the events that they complete, in order. */
    List<Event> feed(byte[] data) {
        List<Event> events = new ArrayList<>();
        int start = 0;
        for (int i = 0; i < data.length; i++) {
            byte next = data[i];
            if (next == LINE_FEED) {
                if (lineEmpty) {
                    append(data, start, i + 1);
                    events.add(completeEvent());
                    start = i + 1;
                }
                lineEmpty = true;
            } else if (next != CARRIAGE_RETURN) {
                lineEmpty = false;
            }
        }
        append(data, start, data.length);
        return events;
    }

    private void append(byte[] data, int from, int to) {
        int length = to - from;
        if (size + length > pending.length) {
            pending = Arrays.copyOf(pending, Math.max(size + length, 2 * pending.length));
        }
        System.arraycopy(data, from, pending, size, length);
        size += length;
    }

    private Event completeEvent() {
        byte[] bytes = Arrays.copyOf(pending, size);
        size = 0;
        if (pending.length > MAX_KEPT_BYTES) {
            pending = new byte[0];
        }
        return event(bytes);
    }

    /** Returns whether part of an event has been received. */
    boolean hasPartialEvent() {
        return size > 0;
    }

    /** Returns the number of bytes buffered for the incomplete event. */
    int pendingBytes() {
        return size;
    }

    /** Returns the memory that the splitter takes up, in bytes. */
    int heldBytes() {
        return pending.length;
    }

    private static Event event(byte[] bytes) {
        OptionalLong id = OptionalLong.empty();
        boolean hasData = false;
        boolean isComment = true;
        int line = 0;
        while (line < bytes.length) {
            int end = endOfLine(bytes, line);
            if (id.isEmpty() && startsWith(bytes, line, end, ID_FIELD)) {
                id = number(bytes, line + ID_FIELD.length, end);
            }
            hasData |= startsWith(bytes, line, end, DATA_FIELD) && hasText(bytes, line + DATA_FIELD.length, end);
            isComment &= !hasText(bytes, line, end) || bytes[line] == COMMENT;
            line = end + 1;
        }
        return new Event(bytes, id, hasData, isComment);
    }

    private static int endOfLine(byte[] bytes, int from) {
        int end = from;
        while (end < bytes.length && bytes[end] != LINE_FEED) {
            end++;
        }
        return end;
    }

    private static boolean startsWith(byte[] bytes, int from, int to, byte[] field) {
        return to - from >= field.length && Arrays.equals(bytes, from, from + field.length, field, 0, field.length);
    }

    private static boolean hasText(byte[] bytes, int from, int to) {
        int start = from;
        while (start < to && isBlank(bytes[start])) {
            start++;
        }
        return start < to;
    }

    /** Returns the number in a part of a line, without white space around it. */
    private static OptionalLong number(byte[] bytes, int from, int to) {
        int start = from;
        int end = to;
        while (start < end && isBlank(bytes[start])) {
            start++;
        }
        while (end > start && isBlank(bytes[end - 1])) {
            end--;
        }
        if (start == end || end - start > MAX_ID_DIGITS) {
            return OptionalLong.empty();
        }
        long value = 0;
        for (int i = start; i < end; i++) {
            int digit = bytes[i] - '0';
            if (digit < 0 || digit >= DECIMAL) {
                return OptionalLong.empty();
            }
            value = value * DECIMAL + digit;
        }
        return OptionalLong.of(value);
    }

    private static boolean isBlank(byte value) {
        return value == ' ' || value == '\t' || value == CARRIAGE_RETURN;
    }
}
