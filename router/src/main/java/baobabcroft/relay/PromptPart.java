package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * One part of a prompt. Requests may share parts; an engine skips the prefill of the leading parts that it has cached.
 *
 * @param id identifies the text of the part; not empty
 * @param tokens length of the part, in tokens
 */
public record PromptPart(String id, int tokens) {
    /** Validates the components. */
    public PromptPart {
        checkArgument(!id.isEmpty(), "id must not be empty");
        checkArgument(tokens >= 0, "tokens must not be negative: %s", tokens);
    }
}
