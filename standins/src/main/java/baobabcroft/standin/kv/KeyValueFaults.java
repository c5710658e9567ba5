package baobabcroft.standin.kv;

import java.util.concurrent.atomic.AtomicInteger;

/** Faults that the service shows at present. Thread-safe. */
final class KeyValueFaults {
    /** How the service answers calls. */
    enum Mode {
        UP,
        /** Each call's connection is closed without an answer, and nothing is done. */
        DOWN,
        /** Each call is answered with 503, and nothing is done. */
        UNAVAILABLE
    }

    private final AtomicInteger lostReplies = new AtomicInteger();
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
        lostReplies.set(count);
    }

    boolean takeLostReply() {
        return lostReplies.getAndUpdate(count -> Math.max(0, count - 1)) > 0;
    }

    void reset() {
        mode = Mode.UP;
        delayMillis = 0;
        lostReplies.set(0);
    }
}
