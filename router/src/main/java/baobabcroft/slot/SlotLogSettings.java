package baobabcroft.slot;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Settings of a {@link SlotLog}.
 *
 * @param slots number of slots that records are distributed over, at most 1000; must be the same on all instances
 * @param windowMillis minimum interval between the starts of two commits of a slot, in milliseconds
 * @param freshMillis how long the cached value of a slot is used without a new read, in milliseconds
 * @param maxQueued maximum number of transitions queued for one slot
 * @param sealBytes size of a slot's value, in bytes, above which settled records are moved to a segment
 * @param backoffMinMillis delay after the first failed call, in milliseconds
 * @param backoffMaxMillis maximum delay after failed calls, in milliseconds
 */
public record SlotLogSettings(
        int slots,
        long windowMillis,
        long freshMillis,
        int maxQueued,
        int sealBytes,
        long backoffMinMillis,
        long backoffMaxMillis) {
    /** Checks the ranges of all values. */
    public SlotLogSettings {
        checkArgument(slots > 0 && slots <= 1000, "slots must be from 1 to 1000, was %s", slots);
        checkArgument(windowMillis >= 0, "windowMillis must not be negative, was %s", windowMillis);
        checkArgument(freshMillis >= 0, "freshMillis must not be negative, was %s", freshMillis);
        checkArgument(maxQueued > 0, "maxQueued must be positive, was %s", maxQueued);
        checkArgument(sealBytes > 0 && sealBytes <= 1 << 19, "sealBytes must be from 1 to 524288, was %s", sealBytes);
        checkArgument(backoffMinMillis > 0, "backoffMinMillis must be positive, was %s", backoffMinMillis);
        checkArgument(
                backoffMaxMillis >= backoffMinMillis,
                "backoffMaxMillis must be at least backoffMinMillis, was %s",
                backoffMaxMillis);
    }

    /**
     * Returns the default settings.
     *
     * @return settings for the current number of instances
     */
    public static SlotLogSettings defaults() {
        return new SlotLogSettings(64, 10, 1_000, 256, 16 * 1024, 10, 1_000);
    }
}
