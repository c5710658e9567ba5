package baobabcroft.front;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.function.LongSupplier;

/** How fast the request arrives that a connection receives. Not thread-safe. */
final class ReceiveProgress {
    /** Silence after which a request counts as without progress: several round trips between regions. */
    static final long STALL_MILLIS = 1_000;
    /** Slowest average rate at which a request makes progress; 128 kbit/s. */
    private static final long MIN_BYTES_PER_MILLI = 16;

    private final LongSupplier nowMillis;
    private long sinceMillis;
    private long lastMillis;
    private long bytes;

    ReceiveProgress(LongSupplier nowMillis) {
        this.nowMillis = checkNotNull(nowMillis);
        this.sinceMillis = nowMillis.getAsLong();
        this.lastMillis = sinceMillis;
    }

    /** Called when bytes were received. */
    void onReceived(int receivedBytes) {
        lastMillis = nowMillis.getAsLong();
        bytes += receivedBytes;
    }

    /** Called after {@link #onReceived} when the bytes are the first ones of a request. */
    void onRequestBegun(int receivedBytes) {
        sinceMillis = lastMillis;
        bytes = receivedBytes;
    }

    /** Returns when bytes were received last, in milliseconds. */
    long lastMillis() {
        return lastMillis;
    }

    /** Returns the time since the first bytes of the request, in milliseconds. */
    long ageMillis(long now) {
        return now - sinceMillis;
    }

    /** Returns whether nothing has arrived for some time. */
    boolean isSilent(long now) {
        return now - lastMillis >= STALL_MILLIS;
    }

    /** Returns whether the request has stopped to arrive, or arrives very slowly. */
    boolean isStalled(long now) {
        long ageMillis = ageMillis(now);
        return ageMillis >= STALL_MILLIS && (isSilent(now) || bytes < ageMillis * MIN_BYTES_PER_MILLI);
    }
}
