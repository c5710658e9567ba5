package baobabcroft.experiment;

/**
 * Performance parameters of a model engine with continuous batching.
 *
 * @param stepMillis base duration of a decoding step, in milliseconds
 * @param stepMillisPerRequest additional duration of a step per request in the batch, in milliseconds
 * @param maxBatch maximum number of requests in the batch; further ones wait in the engine's queue
 * @param prefillTokensPerStep prompt tokens processed in the time of one step
 * @param cachedPrefixes capacity of the prefix cache, in prompt prefixes
 */
record EngineModel(
        double stepMillis, double stepMillisPerRequest, int maxBatch, double prefillTokensPerStep, int cachedPrefixes) {
    double stepMillis(int running) {
        return stepMillis + stepMillisPerRequest * running;
    }

    /** Returns the throughput of a full batch, in request steps per millisecond. */
    double fullRate() {
        return maxBatch / stepMillis(maxBatch);
    }
}
