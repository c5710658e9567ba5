package baobabcroft.standin.engine;

/**
 * Load of an engine.
 *
 * @param atMillis when it was measured, in milliseconds
 * @param running requests in the batch
 * @param waiting requests waiting for a place
 * @param kvCacheUse share of the memory that is taken, from 0 to 1
 */
public record EngineLoad(double atMillis, int running, int waiting, double kvCacheUse) {}
