package baobabcroft.limit;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongConsumer;

/** Reservation of an admitted request in the limits of its account. Thread-safe; only the first release counts. */
public final class LimitReservation {
    private final LongConsumer onRelease;
    private final AtomicBoolean ended = new AtomicBoolean();

    LimitReservation(LongConsumer onRelease) {
        this.onRelease = onRelease;
    }

    /**
     * Releases the concurrency slot and replaces the charge for expected tokens by the tokens actually generated.
     *
     * @param generatedTokens number of tokens generated
     * @return whether this was the first call
     */
    public boolean release(long generatedTokens) {
        checkArgument(generatedTokens >= 0, "negative generatedTokens: %s", generatedTokens);
        if (!ended.compareAndSet(false, true)) {
            return false;
        }
        onRelease.accept(generatedTokens);
        return true;
    }
}
