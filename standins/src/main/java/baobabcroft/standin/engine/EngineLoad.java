package baobabcroft.standin.engine;

/**
 * Load of an engine at one time.
 *
 * @param atMillis model time of the measurement, in milliseconds
 * @param running number of requests in the batch
 * @param waiting number of queued requests
 * @param kvCacheUse used share of the KV cache, from 0 to 1
 */
public record EngineLoad(double atMillis, int running, int waiting, double kvCacheUse) {}
