package baobabcroft.limit;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongConsumer;

/** An admitted request's hold on its account's limits. Thread-safe; only the first end counts. */
public final class LimitReservation {
    private final LongConsumer release;
    private final AtomicBoolean ended = new AtomicBoolean();

    LimitReservation(LongConsumer release) {
        this.release = release;
    }

    /**
     * Gives back the place and settles the tokens.
     *
     * @param generatedTokens tokens that were generated
     * @return whether this was the first end
     */
    public boolean release(long generatedTokens) {
        checkArgument(generatedTokens >= 0, "negative generatedTokens: %s", generatedTokens);
        if (!ended.compareAndSet(false, true)) {
            return false;
        }
        release.accept(generatedTokens);
        return true;
    }
}
