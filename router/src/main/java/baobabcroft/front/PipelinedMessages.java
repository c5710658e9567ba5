package baobabcroft.front;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.memory.MemoryReservation;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Messages that are received while an earlier request on the same connection is served, or the present one waits for
 * memory. Not thread-safe.
 */
final class PipelinedMessages {
    /** Messages beyond which no others are decoded. */
    private static final int MAX_MESSAGES = 64;
    /** Memory of a message without its text and content, in bytes: about that of its objects. */
    private static final int MESSAGE_OVERHEAD_BYTES = 200;
    /**
     * Memory of a header line without its text, in bytes: an entry of Netty's headers (40), its name (32 and 16 for the
     * array), its value (24 and 16), the name as a string (24 and 16) and a line of the relay's headers (24) with the
     * reference to it.
     */
    private static final int LINE_OVERHEAD_BYTES = 200;

    private final Deque<HttpObject> messages = new ArrayDeque<>();
    private final MemoryReservation memory;
    private boolean full;

    PipelinedMessages(MemoryReservation memory) {
        this.memory = checkNotNull(memory);
    }

    /** Adds a message. */
    void add(HttpObject message) {
        messages.add(message);
        onAdded(message);
    }

    /** Adds a message before all others. */
    void addFirst(HttpObject message) {
        messages.addFirst(message);
        onAdded(message);
    }

    private void onAdded(HttpObject message) {
        boolean fits = memory.resize(memory.heldBytes() + bytesOf(message));
        full |= !fits || messages.size() > MAX_MESSAGES;
    }

    /** Removes the first message; there must be one. */
    HttpObject next() {
        HttpObject message = messages.remove();
        memory.resize(memory.heldBytes() - bytesOf(message));
        full &= !messages.isEmpty();
        return message;
    }

    boolean isEmpty() {
        return messages.isEmpty();
    }

    /** Returns whether reading must pause until all messages have been taken. */
    boolean isFull() {
        return full;
    }

    /** Drops all messages and gives their memory back. */
    void release() {
        messages.forEach(ReferenceCountUtil::release);
        messages.clear();
        memory.release();
        full = false;
    }

    /** Returns about how much memory a message takes up, in bytes. */
    static int bytesOf(HttpObject message) {
        int bytes = MESSAGE_OVERHEAD_BYTES;
        if (message instanceof HttpContent content) {
            bytes += content.content().readableBytes();
        }
        if (message instanceof HttpRequest request) {
            bytes += request.uri().length()
                    + NettyHeaders.lengthOf(request.headers())
                    + LINE_OVERHEAD_BYTES * request.headers().size();
        }
        return bytes;
    }
}
