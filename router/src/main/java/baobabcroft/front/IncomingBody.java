package baobabcroft.front;

import baobabcroft.memory.BodyBuffer;
import baobabcroft.memory.MemoryReservation;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Body of the request that one connection receives or serves. The memory for a body of known length is reserved before
 * any of it is read, so that bodies that have begun can be completed. Not thread-safe.
 */
final class IncomingBody {
    private final MemoryReservation memory;
    private BodyBuffer bytes = BodyBuffer.ofUnknownLength();
    private boolean complete;

    /** Creates an empty body that takes its memory from a reservation. */
    IncomingBody(MemoryReservation memory) {
        this.memory = memory;
    }

    /** Returns the length of a request's body as stated, in bytes; 0 if it is not stated. */
    static long statedBytes(HttpRequest request) {
        return HttpUtil.getContentLength(request, 0L);
    }

    /**
     * Begins the body of a request.
     *
     * @param request a request whose stated length is below the limit of an {@code int}
     * @param onceGranted called when the memory is reserved after a wait
     * @return whether the body may be read
     */
    MemoryReservation.Outcome start(HttpRequest request, Runnable onceGranted) {
        long statedBytes = statedBytes(request);
        bytes = BodyBuffer.ofLength(Math.toIntExact(statedBytes));
        complete = false;
        memory.release();
        return memory.growOrWait(statedBytes, onceGranted);
    }

    /**
     * Adds a part if there is memory for it; otherwise nothing of it is stored. If the result is {@code WAITING}, the
     * same part is to be added again once {@code onceGranted} has been called.
     */
    MemoryReservation.Outcome add(HttpContent part, Runnable onceGranted) {
        MemoryReservation.Outcome outcome =
                reserve(bytes.heldBytesAfter(part.content().readableBytes()), onceGranted);
        if (outcome == MemoryReservation.Outcome.GRANTED) {
            bytes.add(part.content().nioBuffer());
            complete = part instanceof LastHttpContent;
        }
        return outcome;
    }

    private MemoryReservation.Outcome reserve(long totalBytes, Runnable onceGranted) {
        return totalBytes <= memory.heldBytes()
                ? MemoryReservation.Outcome.GRANTED
                : memory.growOrWait(totalBytes, onceGranted);
    }

    /** Returns the number of bytes that were added. */
    int size() {
        return bytes.size();
    }

    /** Returns the memory that is reserved, in bytes. */
    long heldBytes() {
        return memory.heldBytes();
    }

    /** Returns whether the body waits for memory. */
    boolean isWaiting() {
        return memory.isWaiting();
    }

    /** Returns whether the last part was added. */
    boolean isComplete() {
        return complete;
    }

    /** Returns the complete body. Its memory stays reserved until {@link #release}. */
    byte[] take() {
        complete = false;
        return bytes.take();
    }

    /** Gives up a wait for memory, which is counted as a refusal. */
    void abandonWait() {
        memory.abandonWait();
    }

    /** Discards the body and gives its memory back. May be called more than once. */
    void release() {
        complete = false;
        bytes = BodyBuffer.ofUnknownLength();
        memory.release();
    }
}
