package baobabcroft.standin.engine;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Capacity and speed of a simulated engine.
 *
 * @param maxBatch maximum number of concurrently running requests
 * @param tokenMillis decode time of one token of a request that runs alone, in milliseconds
 * @param batchSlowdown share that each further running request adds to the processing time of all requests
 * @param prefillMillisPerToken prefill time of one uncached prompt token, in milliseconds
 * @param blockTokens number of prompt tokens in a block of the prefix cache
 * @param prefixCacheBlocks capacity of the prefix cache, in blocks
 * @param kvCacheTokens capacity of the KV cache, in prompt and answer tokens
 * @param reportLagMillis lag of the reported load behind the actual load, in milliseconds
 */
public record EngineSettings(
        int maxBatch,
        double tokenMillis,
        double batchSlowdown,
        double prefillMillisPerToken,
        int blockTokens,
        int prefixCacheBlocks,
        int kvCacheTokens,
        long reportLagMillis) {
    /** Settings of a small engine. */
    public static final EngineSettings SMALL = new EngineSettings(16, 2, 0.05, 0.05, 16, 4_096, 131_072, 500);

    /** Checks the ranges of the batch size, the token time, the slowdown and the block size. */
    public EngineSettings {
        checkArgument(maxBatch > 0, "maxBatch must be positive, was %s", maxBatch);
        checkArgument(tokenMillis > 0, "tokenMillis must be positive, was %s", tokenMillis);
        checkArgument(batchSlowdown >= 0, "batchSlowdown must not be negative, was %s", batchSlowdown);
        checkArgument(blockTokens > 0, "blockTokens must be positive, was %s", blockTokens);
    }

    /**
     * Returns these settings with a different decode time per token.
     *
     * @param millis the decode time, in milliseconds; positive
     * @return the changed settings
     */
    public EngineSettings withTokenMillis(double millis) {
        return new EngineSettings(
                maxBatch,
                millis,
                batchSlowdown,
                prefillMillisPerToken,
                blockTokens,
                prefixCacheBlocks,
                kvCacheTokens,
                reportLagMillis);
    }

    /**
     * Returns these settings with a different batch size.
     *
     * @param size maximum number of concurrently running requests; positive
     * @return the changed settings
     */
    public EngineSettings withMaxBatch(int size) {
        return new EngineSettings(
                size,
                tokenMillis,
                batchSlowdown,
                prefillMillisPerToken,
                blockTokens,
                prefixCacheBlocks,
                kvCacheTokens,
                reportLagMillis);
    }
}
