package baobabcroft.standin.engine;

import java.util.List;

/**
 * A request as the engine's scheduler sees it.
 *
 * @param id number that no other request of the engine has
 * @param blocks keys of the prompt's blocks, each of which depends on all blocks before it
 * @param promptTokens tokens of the prompt
 * @param answerTokens tokens of the answer; at least one
 * @param priority requests of greater priority start first
 * @param tokenEvents whether each token is an event of its own
 */
public record EngineRequest(
        long id, List<Long> blocks, int promptTokens, int answerTokens, int priority, boolean tokenEvents) {
    /** Copies the blocks. */
    public EngineRequest {
        blocks = List.copyOf(blocks);
    }
}
