package baobabcroft.experiment;

/**
 * Speed and size of a model engine.
 *
 * @param stepMillis time of one decoding step of an empty batch, in milliseconds
 * @param stepMillisPerRequest growth of the step with each request in the batch, in milliseconds
 * @param maxBatch requests that decode at once; more wait in the engine's queue
 * @param prefillTokensPerStep prompt tokens read in the time of one step
 * @param cachedPrefixes prompt prefixes that its cache holds
 */
record EngineModel(
        double stepMillis, double stepMillisPerRequest, int maxBatch, double prefillTokensPerStep, int cachedPrefixes) {
    double stepMillis(int running) {
        return stepMillis + stepMillisPerRequest * running;
    }

    /** Returns the steps of work that the full batch does in a millisecond. */
    double fullRate() {
        return maxBatch / stepMillis(maxBatch);
    }
}
