package baobabcroft.slot;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Settings of a {@link SlotLog}.
 *
 * @param slotCount number of slots that records are distributed over, at most 1000; must be the same on all instances
 * @param minCommitIntervalMillis minimum interval between the starts of two commits of a slot, in milliseconds
 * @param cacheTtlMillis how long the cached value of a slot is used without a new read, in milliseconds
 * @param maxQueued maximum number of transitions queued for one slot
 * @param sealThresholdBytes size of a slot's value, in bytes, above which settled records are moved to a separate key,
 *     a segment
 * @param backoffMinMillis delay after the first failed call, in milliseconds
 * @param backoffMaxMillis maximum delay after failed calls, in milliseconds
 */
public record SlotLogSettings(
        int slotCount,
        long minCommitIntervalMillis,
        long cacheTtlMillis,
        int maxQueued,
        int sealThresholdBytes,
        long backoffMinMillis,
        long backoffMaxMillis) {
    /** Checks the ranges of all values. */
    public SlotLogSettings {
        checkArgument(slotCount > 0 && slotCount <= 1000, "slotCount must be from 1 to 1000, was %s", slotCount);
        checkArgument(
                minCommitIntervalMillis >= 0,
                "minCommitIntervalMillis must not be negative, was %s",
                minCommitIntervalMillis);
        checkArgument(cacheTtlMillis >= 0, "cacheTtlMillis must not be negative, was %s", cacheTtlMillis);
        checkArgument(maxQueued > 0, "maxQueued must be positive, was %s", maxQueued);
        checkArgument(
                sealThresholdBytes > 0 && sealThresholdBytes <= 1 << 19,
                "sealThresholdBytes must be from 1 to 524288, was %s",
                sealThresholdBytes);
        checkArgument(backoffMinMillis > 0, "backoffMinMillis must be positive, was %s", backoffMinMillis);
        checkArgument(
                backoffMaxMillis >= backoffMinMillis,
                "backoffMaxMillis must be at least backoffMinMillis, was %s",
                backoffMaxMillis);
    }

    /**
     * Returns the default settings.
     *
     * @return the settings that the router uses
     */
    public static SlotLogSettings defaults() {
        return new SlotLogSettings(64, 10, 1_000, 256, 16 * 1024, 10, 1_000);
    }
}
