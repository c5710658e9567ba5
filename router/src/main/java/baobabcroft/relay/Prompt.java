package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.util.Optional;

/**
 * Size and parts of a prompt, as stated by the caller.
 *
 * @param parts the parts in order; the last one is specific to the request
 * @param promptTokens length of the prompt, in tokens
 * @param maxOutputTokens maximum number of tokens to generate
 */
public record Prompt(ImmutableList<PromptPart> parts, int promptTokens, int maxOutputTokens) {
    /** The prompt of a request that has none. */
    public static final Prompt NONE = new Prompt(ImmutableList.of(), 0, 0);

    /** Validates the components. */
    public Prompt {
        checkArgument(promptTokens >= 0, "promptTokens must not be negative: %s", promptTokens);
        checkArgument(maxOutputTokens >= 0, "maxOutputTokens must not be negative: %s", maxOutputTokens);
    }

    /**
     * Returns the parts that other requests may share: all but the last.
     *
     * @return the parts, in order
     */
    public ImmutableList<PromptPart> sharedParts() {
        return parts.subList(0, Math.max(0, parts.size() - 1));
    }

    /**
     * Returns the length of the parts that other requests may share: all but the last.
     *
     * @return the length, in tokens
     */
    public int sharedTokens() {
        return sharedParts().stream().mapToInt(PromptPart::tokens).sum();
    }

    /**
     * Returns the length of what is specific to the request.
     *
     * @return the length, in tokens
     */
    public int ownTokens() {
        return Math.max(0, promptTokens - sharedTokens());
    }

    /**
     * Returns the last part that other requests may share, which decides where a cached prefix is likely.
     *
     * @return the part before the last, or empty if there are fewer than two
     */
    public Optional<PromptPart> lastSharedPart() {
        return parts.size() < 2 ? Optional.empty() : Optional.of(parts.get(parts.size() - 2));
    }
}
