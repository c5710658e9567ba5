package baobabcroft.relay;

import com.google.common.primitives.Bytes;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * The event stream sent to one caller, which may come from several endpoints in turn. The caller receives complete
 * events in order, each exactly once. Not thread-safe.
 */
final class CallerStream {
    private final CallerExchange caller;
    private final List<byte[]> unsent = new ArrayList<>();
    private OptionalLong lastEvent;
    private boolean started;

    /** Creates a stream that continues after the given event, or starts at the first event if empty. */
    CallerStream(CallerExchange caller, OptionalLong resumeAfter) {
        this.caller = caller;
        this.lastEvent = resumeAfter;
    }

    /** Returns whether anything has been sent to the caller. */
    boolean hasStarted() {
        return started;
    }

    /** Returns the id of the last event that the caller has, or empty if none is known. */
    OptionalLong lastEvent() {
        return lastEvent;
    }

    /** Sends the status and headers unless they have been sent. */
    void start(int status, Headers headers) {
        if (!started) {
            started = true;
            caller.startStream(status, headers);
        }
    }

    /** Returns the position of an event relative to the last one that the caller has. */
    Position positionOf(EventSplitter.Event event) {
        if (lastEvent.isEmpty()) {
            return Position.NEXT;
        }
        if (event.id().isEmpty()) {
            return event.isComment() ? Position.NEXT : Position.GAP;
        }
        long expected = lastEvent.getAsLong() + 1;
        long id = event.id().getAsLong();
        if (id == expected) {
            return Position.NEXT;
        }
        return id < expected ? Position.DUPLICATE : Position.GAP;
    }

    /** Adds an event that is {@link Position#NEXT}, to be sent by the next {@link #flush}. */
    void add(EventSplitter.Event event) {
        if (event.id().isPresent()) {
            lastEvent = event.id();
        }
        unsent.add(event.bytes());
    }

    /** Sends the events that were added. */
    void flush() {
        if (!unsent.isEmpty()) {
            byte[] events = unsent.size() == 1 ? unsent.get(0) : Bytes.concat(unsent.toArray(byte[][]::new));
            unsent.clear();
            caller.streamData(events);
        }
    }

    /** Sends the events that were added and ends the stream as complete. */
    void end() {
        flush();
        caller.endStream();
    }

    /** Sends the events that were added and closes the connection, so that the stream is seen to be incomplete. */
    void abort() {
        flush();
        caller.abort();
    }

    /** Position of an event relative to the last one that the caller has. */
    enum Position {
        /** The event directly follows the last one, is a comment, or no event had an id before. */
        NEXT,
        /** The caller already has the event. */
        DUPLICATE,
        /** Events between the last one and this one are missing, or it has no id and those before it had. */
        GAP
    }
}
