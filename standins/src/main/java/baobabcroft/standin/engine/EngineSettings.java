package baobabcroft.standin.engine;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What an engine can do.
 *
 * @param maxBatch requests that run at once
 * @param tokenMillis time for one token when nothing else runs, in milliseconds
 * @param batchSlowdown how much each further running request adds to the time of all, as a share
 * @param prefillMillisPerToken time to read one prompt token that is not cached, in milliseconds
 * @param blockTokens prompt tokens in one block of the prefix cache
 * @param prefixCacheBlocks blocks that the prefix cache holds
 * @param kvCacheTokens tokens of prompts and answers that fit in memory at once
 * @param reportLagMillis age of the load report, in milliseconds
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

    /** Checks the parts. */
    public EngineSettings {
        checkArgument(maxBatch > 0, "maxBatch must be positive, was %s", maxBatch);
        checkArgument(tokenMillis > 0, "tokenMillis must be positive, was %s", tokenMillis);
        checkArgument(batchSlowdown >= 0, "batchSlowdown must not be negative, was %s", batchSlowdown);
        checkArgument(blockTokens > 0, "blockTokens must be positive, was %s", blockTokens);
    }

    /**
     * Returns these settings with another time for one token.
     *
     * @param millis the time, in milliseconds
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
     * Returns these settings with another size of the batch.
     *
     * @param size requests that run at once
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
