package baobabcroft.standin.kv;

import java.util.concurrent.atomic.AtomicInteger;

/** Currently active faults of the key-value service. Thread-safe. */
final class KeyValueFaults {
    /** How the service answers calls. */
    enum Mode {
        UP,
        /** Each call's connection is aborted without a response; the call has no effect. */
        DOWN,
        /** Each call is answered with 503; the call has no effect. */
        UNAVAILABLE
    }

    private final AtomicInteger remainingLostReplies = new AtomicInteger();
    private volatile Mode mode = Mode.UP;
    private volatile long delayMillis;

    Mode mode() {
        return mode;
    }

    void setMode(Mode newMode) {
        mode = newMode;
    }

    long delayMillis() {
        return delayMillis;
    }

    void setDelayMillis(long millis) {
        delayMillis = millis;
    }

    void loseReplies(int count) {
        remainingLostReplies.set(count);
    }

    boolean consumeLostReply() {
        return remainingLostReplies.getAndUpdate(count -> Math.max(0, count - 1)) > 0;
    }

    void reset() {
        mode = Mode.UP;
        delayMillis = 0;
        remainingLostReplies.set(0);
    }
}
