package baobabcroft.relay;

import java.util.OptionalLong;

/**
 * The stream that one caller receives, possibly from several endpoints in turn: whole events, in order, each once. Not
 * thread-safe.
 */
final class CallerStream {
    private final CallerExchange caller;
    private OptionalLong lastEvent;
    private boolean started;

    /** Creates a stream that goes on behind an event that the caller has, if it says so. */
    CallerStream(CallerExchange caller, OptionalLong resumeAfter) {
        this.caller = caller;
        this.lastEvent = resumeAfter;
    }

    /** Returns whether the caller has received a part of it. */
    boolean hasStarted() {
        return started;
    }

    /** Returns the number of the last event that the caller has. */
    OptionalLong lastEvent() {
        return lastEvent;
    }

    /** Sends the head, once. */
    void start(int status, Headers headers) {
        if (!started) {
            started = true;
            caller.startStream(status, headers);
        }
    }

    /** Returns where an event stands behind the last one. */
    Order orderOf(EventSplitter.Event event) {
        if (event.id().isEmpty() || lastEvent.isEmpty()) {
            return Order.NEXT;
        }
        long expected = lastEvent.getAsLong() + 1;
        long id = event.id().getAsLong();
        if (id == expected) {
            return Order.NEXT;
        }
        return id < expected ? Order.KNOWN : Order.GAP;
    }

    /** Sends an event that is {@link Order#NEXT}. */
    void send(EventSplitter.Event event) {
        if (event.id().isPresent()) {
            lastEvent = event.id();
        }
        caller.streamData(event.bytes());
    }

    /** Where an event stands. */
    enum Order {
        /** It follows the last one. */
        NEXT,
        /** The caller has it already. */
        KNOWN,
        /** Events before it are missing. */
        GAP
    }
}
