package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.capacity.TokenNeed;
import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * Size and parts of a prompt, as stated by the caller.
 *
 * @param parts the parts in order; the last one is specific to the request
 * @param promptTokens length of the prompt, in tokens
 * @param maxOutputTokens maximum number of tokens to generate; 0 if not stated
 * @param outputHintTokens the caller's estimate of the tokens to generate, right at the median; empty if not stated
 */
public record Prompt(
        ImmutableList<PromptPart> parts, int promptTokens, int maxOutputTokens, OptionalInt outputHintTokens) {
    /**
     * Factor from the caller's estimate to the expected output. Half of the answers are longer than the estimate, and
     * the mean of lengths lies above their median.
     */
    private static final double MEAN_OUTPUT_FACTOR = 1.5;

    /** The prompt of a request that has none. */
    public static final Prompt NONE = new Prompt(ImmutableList.of(), 0, 0);

    /** Validates the components. */
    public Prompt {
        checkArgument(promptTokens >= 0, "promptTokens must not be negative: %s", promptTokens);
        checkArgument(maxOutputTokens >= 0, "maxOutputTokens must not be negative: %s", maxOutputTokens);
        checkNotNull(outputHintTokens);
    }

    /** Creates the prompt of a caller that does not estimate the length of its answer. */
    public Prompt(ImmutableList<PromptPart> parts, int promptTokens, int maxOutputTokens) {
        this(parts, promptTokens, maxOutputTokens, OptionalInt.empty());
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

    /** Returns the number of tokens that the answer is expected to have: the maximum if there is no estimate. */
    private long expectedOutputTokens() {
        if (outputHintTokens.isEmpty()) {
            return maxOutputTokens;
        }
        long hintedTokens = (long) (MEAN_OUTPUT_FACTOR * outputHintTokens.getAsInt());
        return maxOutputTokens == 0 ? hintedTokens : Math.min(maxOutputTokens, hintedTokens);
    }

    /** Returns the token memory that a request with this prompt takes up at an engine. */
    TokenNeed tokenNeed(Optional<String> model) {
        TokenNeed.Builder need = TokenNeed.builder(model.orElse(""));
        sharedParts().forEach(part -> need.addShared(part.id(), part.tokens()));
        return need.build(ownTokens() + expectedOutputTokens());
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
