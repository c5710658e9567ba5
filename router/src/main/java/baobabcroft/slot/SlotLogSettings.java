package baobabcroft.slot;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Settings of a {@link SlotLog}. All instances must use the same number of slots.
 *
 * @param slots how many slots records are spread over
 * @param windowMillis least time from the start of one commit of a slot to the next, in milliseconds
 * @param freshMillis how long a slot's value is used without reading it again, in milliseconds
 * @param maxQueued how many transitions may wait for one slot
 * @param sealBytes size of a slot's value from which settled records are moved to a segment
 * @param backoffMinMillis first delay after a failed call, in milliseconds
 * @param backoffMaxMillis longest delay after failed calls, in milliseconds
 */
public record SlotLogSettings(
        int slots,
        long windowMillis,
        long freshMillis,
        int maxQueued,
        int sealBytes,
        long backoffMinMillis,
        long backoffMaxMillis) {
    /** Checks the values. */
    public SlotLogSettings {
        checkArgument(slots > 0 && slots <= 1000, "slots must be from 1 to 1000, was %s", slots);
        checkArgument(windowMillis >= 0, "windowMillis must not be negative, was %s", windowMillis);
        checkArgument(freshMillis >= 0, "freshMillis must not be negative, was %s", freshMillis);
        checkArgument(maxQueued > 0, "maxQueued must be positive, was %s", maxQueued);
        checkArgument(sealBytes > 0 && sealBytes <= 1 << 19, "sealBytes must be from 1 to 524288, was %s", sealBytes);
        checkArgument(backoffMinMillis > 0, "backoffMinMillis must be positive, was %s", backoffMinMillis);
        checkArgument(backoffMaxMillis >= backoffMinMillis, "backoffMaxMillis is too small: %s", backoffMaxMillis);
    }

    /**
     * Returns the settings for a fleet of today's size.
     *
     * @return the defaults
     */
    public static SlotLogSettings defaults() {
        return new SlotLogSettings(64, 10, 1_000, 256, 16 * 1024, 10, 1_000);
    }
}
