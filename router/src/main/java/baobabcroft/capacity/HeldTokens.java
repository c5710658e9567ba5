package baobabcroft.capacity;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.capacity.TokenNeed.SharedPart;
import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;

/**
 * Token memory that this instance's requests at one endpoint hold or are going to hold. A shared part counts once
 * while any of them uses it. Cached parts that no running request uses are not counted, as they give way to requests.
 * Not thread-safe.
 */
public final class HeldTokens {
    private final Multiset<Long> sharedUses = HashMultiset.create();
    private final RecentGrowth domainGrowth = new RecentGrowth();
    private long tokens;

    private HeldTokens() {}

    /**
     * Returns the memory of an endpoint without requests.
     *
     * @return an object that holds nothing
     */
    public static HeldTokens create() {
        return new HeldTokens();
    }

    /** The memory of one request until it ends. */
    public final class Hold {
        private final TokenNeed need;
        private boolean released;

        private Hold(TokenNeed need) {
            this.need = need;
        }

        /** Ends the hold. Later calls have no effect. */
        public void release() {
            if (released) {
                return;
            }
            released = true;
            tokens -= need.ownTokens();
            for (SharedPart part : need.sharedParts()) {
                if (sharedUses.remove(part.key(), 1) == 1) {
                    tokens -= part.tokens();
                }
            }
        }
    }

    /**
     * Counts a request that is being sent.
     *
     * @param need what the request takes up
     * @return the hold, to be released when the request ends
     */
    public Hold hold(TokenNeed need) {
        Hold hold = new Hold(checkNotNull(need));
        tokens += need.ownTokens();
        for (SharedPart part : need.sharedParts()) {
            if (sharedUses.add(part.key(), 1) == 0) {
                tokens += part.tokens();
            }
        }
        return hold;
    }

    /**
     * Returns how much memory a further request would take up.
     *
     * @param need what the request takes up
     * @return its tokens without the leading parts that held requests use already
     */
    public long addedTokens(TokenNeed need) {
        long added = need.totalTokens();
        for (SharedPart part : need.sharedParts()) {
            if (!sharedUses.contains(part.key())) {
                break;
            }
            added -= part.tokens();
        }
        return added;
    }

    /**
     * Records what all instances of this failure domain hold at the endpoint.
     *
     * @param nowMillis monotonic clock, in milliseconds
     * @param domainTokens the tokens
     * @return by how much they have grown in the last second
     */
    public long domainGrowthTokens(long nowMillis, long domainTokens) {
        return domainGrowth.record(nowMillis, domainTokens);
    }

    /**
     * Returns the memory that all counted requests hold or are going to hold.
     *
     * @return the tokens
     */
    public long tokens() {
        return tokens;
    }
}
