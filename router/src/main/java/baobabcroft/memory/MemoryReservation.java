package baobabcroft.memory;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.base.Preconditions.checkState;

import java.util.Optional;

/** Memory that one holder has taken from a {@link MemoryBudget}. Not thread-safe: used on the event loop only. */
public final class MemoryReservation {
    private final MemoryBudget budget;
    private final MemoryUse use;
    private long heldBytes;
    private long wantedBytes;
    private Optional<Runnable> onGranted = Optional.empty();

    MemoryReservation(MemoryBudget budget, MemoryUse use) {
        this.budget = budget;
        this.use = checkNotNull(use);
    }

    /** Result of {@link #growOrWait}. */
    public enum Outcome {
        /** The memory is reserved. */
        GRANTED,
        /** The memory will be reserved as soon as others have released enough. */
        WAITING,
        /** The memory is not reserved: it can never be, or too much is waited for already. */
        REFUSED
    }

    /**
     * Returns the size of the reservation.
     *
     * @return the bytes that the holder has reserved
     */
    public long heldBytes() {
        return heldBytes;
    }

    /**
     * Changes the size of the reservation to what its holder has, whatever the limit.
     *
     * @param bytes the new size, in bytes; not negative
     * @return false if the reservation has grown beyond the limit, so that the holder must stop reading or give up
     */
    public boolean resize(long bytes) {
        checkArgument(bytes >= 0, "bytes negative: %s", bytes);
        checkState(onGranted.isEmpty(), "waiting for %s bytes", wantedBytes);
        boolean allowed = bytes <= heldBytes || budget.fits(use, heldBytes, bytes);
        if (!allowed) {
            budget.countRefusal(use);
        }
        set(bytes);
        return allowed;
    }

    /**
     * Enlarges the reservation if there is room; otherwise leaves it unchanged.
     *
     * @param bytes the new size, in bytes; not less than the present one
     * @return whether the memory is reserved
     */
    public boolean grow(long bytes) {
        checkArgument(bytes >= heldBytes, "bytes %s less than %s", bytes, heldBytes);
        checkState(onGranted.isEmpty(), "waiting for %s bytes", wantedBytes);
        if (!budget.fits(use, heldBytes, bytes)) {
            return false;
        }
        set(bytes);
        return true;
    }

    /** Counts that the holder was refused because {@link #grow} found no room. */
    public void countRefusal() {
        budget.countRefusal(use);
    }

    /**
     * Returns whether the reservation waits for memory.
     *
     * @return whether {@link #growOrWait} has not been followed by a grant, a release or the end of the wait
     */
    public boolean isWaiting() {
        return onGranted.isPresent();
    }

    /**
     * Enlarges the reservation, or waits for memory. Those that wait are served in order; a small reservation passes
     * them, and so does one that has grown before.
     *
     * @param bytes the new size, in bytes; not less than the present one
     * @param onceGranted called when the memory is reserved after a wait, from within another holder's release
     * @return whether the memory is reserved
     */
    public Outcome growOrWait(long bytes, Runnable onceGranted) {
        checkArgument(bytes >= heldBytes, "bytes %s less than %s", bytes, heldBytes);
        checkState(onGranted.isEmpty(), "waiting already");
        boolean inTurn = heldBytes > 0 || bytes <= MemoryBudget.SMALL_BYTES || !budget.hasWaiting();
        if (inTurn && budget.fits(use, heldBytes, bytes)) {
            set(bytes);
            return Outcome.GRANTED;
        }
        wantedBytes = bytes;
        if (!budget.enqueue(this, use)) {
            budget.countRefusal(use);
            return Outcome.REFUSED;
        }
        onGranted = Optional.of(onceGranted);
        return Outcome.WAITING;
    }

    /** Ends a wait without memory, which counts as a refusal. Has no effect if the reservation does not wait. */
    public void abandonWait() {
        if (onGranted.isPresent()) {
            budget.countRefusal(use);
            endWait();
        }
    }

    /** Gives all memory back and ends a wait. May be called more than once; the reservation can grow again. */
    public void release() {
        if (onGranted.isPresent()) {
            endWait();
        }
        set(0);
    }

    private void endWait() {
        onGranted = Optional.empty();
        budget.dequeue(this);
    }

    private void set(long bytes) {
        long changeBytes = bytes - heldBytes;
        heldBytes = bytes;
        budget.onResized(use, changeBytes);
    }

    boolean fitsWanted() {
        return budget.fits(use, heldBytes, wantedBytes);
    }

    long wantedGrowthBytes() {
        return wantedBytes - heldBytes;
    }

    void grant() {
        Runnable callback = onGranted.orElseThrow();
        onGranted = Optional.empty();
        set(wantedBytes);
        callback.run();
    }
}
