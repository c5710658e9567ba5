package baobabcroft.standin.engine;

import java.util.List;

/**
 * Request to the engine's scheduler.
 *
 * @param id identifier, unique within the engine
 * @param blocks prefix-cache keys of the prompt's blocks; each key depends on all preceding blocks
 * @param promptTokens number of prompt tokens
 * @param answerTokens number of answer tokens; at least 1
 * @param priority queueing priority; higher values start first
 * @param tokenEvents whether each token after the first produces an event
 */
public record EngineRequest(
        long id, List<Long> blocks, int promptTokens, int answerTokens, int priority, boolean tokenEvents) {
    /** Makes an immutable copy of the block keys. */
    public EngineRequest {
        blocks = List.copyOf(blocks);
    }
}
