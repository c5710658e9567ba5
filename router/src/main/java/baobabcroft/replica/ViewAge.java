package baobabcroft.replica;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.function.LongSupplier;

/** How old the view of the store is: all changes that the store made earlier than that are known. Not thread-safe. */
final class ViewAge {
    private final LongSupplier nowMillis;
    private long completeAtMillis;

    ViewAge(LongSupplier nowMillis) {
        this.nowMillis = checkNotNull(nowMillis);
        this.completeAtMillis = nowMillis.getAsLong();
    }

    /** Notes that all changes up to a time, by the clock of this instance, are known. */
    void confirm(long atMillis) {
        completeAtMillis = Math.max(completeAtMillis, atMillis);
    }

    /** Returns the age of the view in milliseconds; before the first contact the time since the start. */
    long millis() {
        return Math.max(0, nowMillis.getAsLong() - completeAtMillis);
    }
}
