package baobabcroft.memory;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.Map;

/**
 * Limit on the bytes that all requests of an instance hold together. Each holder has a {@link MemoryReservation}, and a
 * limit of its own besides.
 *
 * <p>Large reservations leave an eighth of the budget free, so that small requests are served while large ones have
 * used up the rest. Not thread-safe: used on the event loop only.
 */
public final class MemoryBudget {
    /** Size up to which a reservation may use all of the budget, in bytes. */
    static final long SMALL_BYTES = 64 << 10;
    /** Share of the heap; the rest is for the configuration, the replica of the store and short-lived objects. */
    private static final double HEAP_SHARE = 0.6;

    private static final double LARGE_SHARE = 0.875;

    private final long capacityBytes;
    private final Map<MemoryUse, Long> usedBytes = new EnumMap<>(MemoryUse.class);
    private final Map<MemoryUse, Long> refusals = new EnumMap<>(MemoryUse.class);
    private final Deque<MemoryReservation> waiting = new ArrayDeque<>();
    private long totalBytes;
    private long waitingBytes;

    private MemoryBudget(long capacityBytes) {
        this.capacityBytes = capacityBytes;
    }

    /**
     * Returns an unused budget.
     *
     * @param capacityBytes limit on all reservations together, in bytes; positive
     * @return the budget
     */
    public static MemoryBudget create(long capacityBytes) {
        checkArgument(capacityBytes > 0, "capacityBytes not positive: %s", capacityBytes);
        return new MemoryBudget(capacityBytes);
    }

    /**
     * Returns an unused budget for a process.
     *
     * @param heapBytes largest size of the heap, in bytes; positive
     * @return the budget
     */
    public static MemoryBudget ofHeap(long heapBytes) {
        checkArgument(heapBytes > 0, "heapBytes not positive: %s", heapBytes);
        return create(Math.max(1, (long) (HEAP_SHARE * heapBytes)));
    }

    /**
     * Returns an empty reservation.
     *
     * @param use what the memory is for
     * @return the reservation, which its holder must release
     */
    public MemoryReservation reserve(MemoryUse use) {
        return new MemoryReservation(this, use);
    }

    /**
     * Returns the limit on all reservations together.
     *
     * @return the limit, in bytes
     */
    public long capacityBytes() {
        return capacityBytes;
    }

    /**
     * Returns the bytes that are reserved for a use.
     *
     * @param use the use
     * @return the bytes; may exceed the use's share by what its holders are about to give back
     */
    public long usedBytes(MemoryUse use) {
        return usedBytes.getOrDefault(use, 0L);
    }

    /**
     * Returns how often memory for a use was refused.
     *
     * @param use the use
     * @return the number of refusals since the start
     */
    public long refusals(MemoryUse use) {
        return refusals.getOrDefault(use, 0L);
    }

    /**
     * Returns the bytes that reservations are waiting for.
     *
     * @return the bytes
     */
    public long waitingBytes() {
        return waitingBytes;
    }

    /** Returns whether a reservation may grow from one size to another. */
    boolean fits(MemoryUse use, long heldBytes, long newBytes) {
        long afterBytes = totalBytes - heldBytes + newBytes;
        if (newBytes <= SMALL_BYTES) {
            return afterBytes <= capacityBytes;
        }
        long useAfterBytes = usedBytes(use) - heldBytes + newBytes;
        return afterBytes <= (long) (LARGE_SHARE * capacityBytes) && useAfterBytes <= shareBytes(use);
    }

    private long shareBytes(MemoryUse use) {
        return (long) (use.share() * capacityBytes);
    }

    /** Counts a change of a reservation's size, and serves those that wait if there is room now. */
    void onResized(MemoryUse use, long changeBytes) {
        totalBytes += changeBytes;
        usedBytes.merge(use, changeBytes, Long::sum);
        if (changeBytes < 0) {
            grantWaiting();
        }
    }

    private void grantWaiting() {
        while (!waiting.isEmpty() && waiting.peekFirst().fitsWanted()) {
            MemoryReservation next = waiting.pollFirst();
            waitingBytes -= next.wantedGrowthBytes();
            next.grant();
        }
    }

    void countRefusal(MemoryUse use) {
        refusals.merge(use, 1L, Long::sum);
    }

    boolean hasWaiting() {
        return !waiting.isEmpty();
    }

    /**
     * Adds a reservation to those that wait. One that has grown before comes first: only its completion gives its
     * memory back. Returns false if it can never fit, or too many wait already.
     */
    boolean enqueue(MemoryReservation reservation, MemoryUse use) {
        long growthBytes = reservation.wantedGrowthBytes();
        long shareBytes = Math.min(shareBytes(use), (long) (LARGE_SHARE * capacityBytes));
        if (reservation.heldBytes() + growthBytes > shareBytes || waitingBytes + growthBytes > shareBytes) {
            return false;
        }
        waitingBytes += growthBytes;
        if (reservation.heldBytes() > 0) {
            waiting.addFirst(reservation);
        } else {
            waiting.addLast(reservation);
        }
        return true;
    }

    void dequeue(MemoryReservation reservation) {
        if (waiting.remove(reservation)) {
            waitingBytes -= reservation.wantedGrowthBytes();
            grantWaiting();
        }
    }
}
