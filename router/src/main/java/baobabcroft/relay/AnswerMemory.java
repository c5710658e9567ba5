package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Memory that answers take up while they are received whole, over all requests of an instance. Each answer has a limit
 * of its own, but several endpoints that send without end at the same time would exceed the memory together. Not
 * thread-safe.
 */
public final class AnswerMemory {
    /** Length up to which an answer is received even if others have used up the memory, in bytes. */
    private static final int SMALL_ANSWER_BYTES = 256 << 10;

    private final long maxBytes;
    private long usedBytes;

    private AnswerMemory(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Returns unused memory.
     *
     * @param maxBytes limit on all answers together, in bytes, beyond which only small ones are received; positive
     * @return the memory
     */
    public static AnswerMemory create(long maxBytes) {
        checkArgument(maxBytes > 0, "maxBytes not positive: %s", maxBytes);
        return new AnswerMemory(maxBytes);
    }

    /** Takes memory for a part of an answer; returns false if the answer must be given up. */
    boolean take(int bytes, int answerBytes) {
        usedBytes += bytes;
        return usedBytes <= maxBytes || answerBytes <= SMALL_ANSWER_BYTES;
    }

    /** Returns the memory of an answer that has ended. */
    void release(int answerBytes) {
        usedBytes -= answerBytes;
    }
}
