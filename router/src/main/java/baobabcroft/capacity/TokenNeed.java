package baobabcroft.capacity;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;

/**
 * The token memory that a request takes up at an engine until it ends.
 *
 * @param sharedParts the leading parts of its prompt that other requests may share, in order
 * @param ownTokens the rest of its prompt and its expected output, in tokens
 */
public record TokenNeed(ImmutableList<SharedPart> sharedParts, long ownTokens) {
    /** The need of a request without a prompt. */
    public static final TokenNeed NONE = new TokenNeed(ImmutableList.of(), 0);

    private static final HashFunction HASH = Hashing.murmur3_128();

    /**
     * A leading part of a prompt.
     *
     * @param key hash of the model and of the texts up to the end of the part: an engine shares memory only between
     *     prompts that are equal from their start
     * @param tokens length of the part, in tokens
     */
    public record SharedPart(long key, int tokens) {}

    /** Validates the components. */
    public TokenNeed {
        checkNotNull(sharedParts);
        checkArgument(ownTokens >= 0, "negative ownTokens: %s", ownTokens);
    }

    /**
     * Returns the memory of the request if it shares nothing.
     *
     * @return the tokens
     */
    public long totalTokens() {
        long total = ownTokens;
        for (SharedPart part : sharedParts) {
            total += part.tokens();
        }
        return total;
    }

    /**
     * Returns a builder for a request to a model.
     *
     * @param model name of the model; empty if the router does not know it
     * @return a builder without any tokens
     */
    public static Builder builder(String model) {
        return new Builder(HASH.hashUnencodedChars(model).asLong());
    }

    /** Collects the parts of a prompt in their order. */
    public static final class Builder {
        private final ImmutableList.Builder<SharedPart> sharedParts = ImmutableList.builder();
        private long key;

        private Builder(long modelKey) {
            this.key = modelKey;
        }

        /**
         * Adds the next part that other requests may share.
         *
         * @param id identifies the text of the part
         * @param tokens length of the part, in tokens
         * @return this builder
         */
        public Builder addShared(String id, int tokens) {
            key = HASH.newHasher().putLong(key).putUnencodedChars(id).hash().asLong();
            sharedParts.add(new SharedPart(key, tokens));
            return this;
        }

        /**
         * Returns the need.
         *
         * @param ownTokens the rest of the prompt and the expected output, in tokens
         * @return the need with the parts added so far
         */
        public TokenNeed build(long ownTokens) {
            return new TokenNeed(sharedParts.build(), ownTokens);
        }
    }
}
