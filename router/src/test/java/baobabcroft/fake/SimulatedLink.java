package baobabcroft.fake;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * One direction of an instance's network link, with a rate and a delay, in virtual time. Connections with unsent data
 * take turns by segments; the data of one connection is delivered in order.
 */
public final class SimulatedLink {
    private static final int SEGMENT_BYTES = 16 << 10;
    private static final double BYTES_PER_MILLI_OF_MEGABIT = 125;

    private final VirtualTime time;
    private double bytesPerMilli;
    private final long delayMillis;
    private final Deque<Connection> sending = new ArrayDeque<>();
    private double freeAtMillis;
    private boolean busy;

    public SimulatedLink(VirtualTime time, double megabitsPerSecond, long delayMillis) {
        this.time = time;
        this.delayMillis = delayMillis;
        setRate(megabitsPerSecond);
    }

    /** Changes the rate from the next segment on. */
    public void setRate(double megabitsPerSecond) {
        checkArgument(megabitsPerSecond > 0, "megabitsPerSecond not positive: %s", megabitsPerSecond);
        bytesPerMilli = megabitsPerSecond * BYTES_PER_MILLI_OF_MEGABIT;
    }

    /** Opens a connection over the link. */
    public Connection open() {
        return new Connection();
    }

    /** A connection, which sends its messages in order. */
    public final class Connection {
        private final Deque<Message> messages = new ArrayDeque<>();
        private boolean closed;

        private Connection() {}

        /** Sends a message; the task runs when all of it has been delivered. */
        public void send(long bytes, Runnable onDelivered) {
            if (closed) {
                return;
            }
            if (messages.isEmpty()) {
                sending.addLast(this);
            }
            messages.addLast(new Message(Math.max(1, bytes), onDelivered));
            sendSegment();
        }

        /** Drops what has not been sent. */
        public void close() {
            closed = true;
            messages.clear();
            sending.remove(this);
        }
    }

    private static final class Message {
        private long unsentBytes;
        private final Runnable onDelivered;

        private Message(long bytes, Runnable onDelivered) {
            this.unsentBytes = bytes;
            this.onDelivered = onDelivered;
        }
    }

    private void sendSegment() {
        if (busy || sending.isEmpty()) {
            return;
        }
        busy = true;
        Connection connection = sending.pollFirst();
        Message message = connection.messages.peekFirst();
        long bytes = Math.min(SEGMENT_BYTES, message.unsentBytes);
        message.unsentBytes -= bytes;
        // Virtual time has whole milliseconds only; the fraction left of the previous segment is not lost.
        double startMillis = Math.max(freeAtMillis, time.nowMillis() - 1.0);
        freeAtMillis = startMillis + bytes / bytesPerMilli;
        time.scheduler()
                .schedule((long) Math.ceil(freeAtMillis - time.nowMillis()), () -> onSegmentSent(connection, message));
    }

    private void onSegmentSent(Connection connection, Message message) {
        busy = false;
        if (!connection.closed) {
            if (message.unsentBytes == 0) {
                connection.messages.pollFirst();
                time.scheduler().schedule(delayMillis, message.onDelivered);
            }
            if (!connection.messages.isEmpty()) {
                sending.addLast(connection);
            }
        }
        sendSegment();
    }
}
