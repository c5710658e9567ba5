package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.util.Optional;

/**
 * What is known of a prompt's size and of its parts.
 *
 * @param parts the parts in their order; the last one is the request's own
 * @param promptTokens tokens to read
 * @param maxOutputTokens most tokens to generate
 */
public record Prompt(ImmutableList<PromptPart> parts, int promptTokens, int maxOutputTokens) {
    /** A request without a prompt. */
    public static final Prompt NONE = new Prompt(ImmutableList.of(), 0, 0);

    /** Checks the parts. */
    public Prompt {
        checkArgument(promptTokens >= 0, "negative promptTokens: %s", promptTokens);
        checkArgument(maxOutputTokens >= 0, "negative maxOutputTokens: %s", maxOutputTokens);
    }

    /**
     * Returns the last part that other requests may share, which names the subject of the request.
     *
     * @return the part before the last, or empty if there are fewer than two
     */
    public Optional<PromptPart> subject() {
        return parts.size() < 2 ? Optional.empty() : Optional.of(parts.get(parts.size() - 2));
    }
}
