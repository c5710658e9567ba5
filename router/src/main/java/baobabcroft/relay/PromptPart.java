package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * One part of a prompt. Requests share parts; an engine that keeps a part need not read it again.
 *
 * @param id identity of the part's text
 * @param tokens its length, in tokens
 */
public record PromptPart(String id, int tokens) {
    /** Checks the parts. */
    public PromptPart {
        checkArgument(!id.isEmpty(), "empty id");
        checkArgument(tokens >= 0, "negative tokens: %s", tokens);
    }
}
