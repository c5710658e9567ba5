package baobabcroft.cascade;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Group of requests that are expected to be of similar difficulty.
 *
 * @param account name of the client account
 * @param cascade name of the cascade
 * @param lengthBucket index of the prompt length bucket, from zero; the upper bound grows fourfold with each bucket
 */
public record RequestKind(String account, String cascade, int lengthBucket) {
    private static final int FIRST_BUCKET_TOKENS = 64;
    private static final int MAX_BUCKET = 5;

    /**
     * Returns the kind of a request.
     *
     * @param account name of the client account
     * @param cascade name of the cascade
     * @param promptTokens length of the prompt, in tokens
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
