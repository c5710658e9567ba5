package baobabcroft.cascade;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Coarse class of requests that are expected to be alike in difficulty.
 *
 * @param account the client account's name
 * @param cascade the cascade's name
 * @param lengthBucket class of the prompt's length; each is four times as long as the one before
 */
public record RequestKind(String account, String cascade, int lengthBucket) {
    private static final int FIRST_BUCKET_TOKENS = 64;
    private static final int MAX_BUCKET = 5;

    /**
     * Returns the kind of a request.
     *
     * @param account the client account's name
     * @param cascade the cascade's name
     * @param promptTokens length of its prompt, in tokens
     * @return the kind
     */
    public static RequestKind of(String account, String cascade, long promptTokens) {
        checkArgument(promptTokens >= 0, "negative promptTokens: %s", promptTokens);
        int bucket = 0;
        for (long bound = FIRST_BUCKET_TOKENS; promptTokens > bound && bucket < MAX_BUCKET; bound *= 4) {
            bucket++;
        }
        return new RequestKind(account, cascade, bucket);
    }
}
