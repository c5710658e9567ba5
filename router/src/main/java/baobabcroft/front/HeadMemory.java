package baobabcroft.front;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.memory.MemoryBudget;
import baobabcroft.memory.MemoryReservation;
import baobabcroft.memory.MemoryUse;

/**
 * Memory of one connection and of the head of its request: the bytes that are not decoded yet, and the decoded head.
 * Not thread-safe.
 */
final class HeadMemory {
    /** Memory of a connection without a request, in bytes: about that of its channel, handlers and their buffers. */
    static final int CONNECTION_BYTES = 8 << 10;

    private final ConnectionReclaimer reclaimer;
    private final MemoryReservation connection;
    private final MemoryReservation head;
    private long decodedBytes;
    private long undecodedBytes;

    HeadMemory(MemoryBudget memory, ConnectionReclaimer reclaimer) {
        this.reclaimer = checkNotNull(reclaimer);
        this.connection = memory.reserve(MemoryUse.CONNECTION);
        this.head = memory.reserve(MemoryUse.REQUEST_HEAD);
    }

    /** Reserves the memory of the connection itself; returns whether there is room. */
    boolean reserveConnection() {
        return reserve(connection, CONNECTION_BYTES);
    }

    /** Enlarges a reservation, at the expense of unfinished requests without progress if need be. */
    private boolean reserve(MemoryReservation reservation, long bytes) {
        boolean reserved = reservation.grow(bytes) || reclaimer.makeRoom(() -> reservation.grow(bytes));
        if (!reserved) {
            reservation.countRefusal();
        }
        return reserved;
    }

    /** Sets the bytes that are not decoded yet, for a request that is being received; returns whether there is room. */
    boolean holdUndecoded(long bytes) {
        undecodedBytes = bytes;
        return reserveHead();
    }

    /** Sets the bytes of the decoded head; returns whether there is room. */
    boolean holdDecoded(long bytes) {
        decodedBytes = bytes;
        return reserveHead();
    }

    private boolean reserveHead() {
        long bytes = decodedBytes + undecodedBytes;
        return bytes <= head.heldBytes() ? head.resize(bytes) : reserve(head, bytes);
    }

    /** Sets the undecoded bytes of a request that has to wait for an earlier one; returns whether there is room. */
    boolean countUndecoded(long bytes) {
        undecodedBytes = bytes;
        return head.resize(decodedBytes + bytes);
    }

    /** Returns the bytes that are reserved for the head. */
    long heldBytes() {
        return head.heldBytes();
    }

    /** Gives the memory of the decoded head back. */
    void releaseDecoded() {
        decodedBytes = 0;
        head.resize(Math.min(head.heldBytes(), undecodedBytes));
    }

    /** Gives the memory of the head back. */
    void release() {
        decodedBytes = 0;
        undecodedBytes = 0;
        head.release();
    }

    /** Gives the memory of the connection back. */
    void releaseConnection() {
        connection.release();
    }
}
