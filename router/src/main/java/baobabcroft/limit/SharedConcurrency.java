package baobabcroft.limit;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;

/**
 * This instance's part of a number of requests that all instances together may have open. The parts differ by one at
 * the most; which instances hold the larger ones, or any at all, follows from the same hash at all instances. Not
 * thread-safe.
 */
public final class SharedConcurrency {
    private final InstanceRanking ranking;

    private SharedConcurrency(InstanceRanking ranking) {
        this.ranking = ranking;
    }

    /**
     * Returns this instance's part.
     *
     * @param subject names what the requests are open at; the same number at all instances
     * @param fleet the instances that share the number
     * @return the part
     */
    public static SharedConcurrency create(long subject, FleetView fleet) {
        return new SharedConcurrency(new InstanceRanking(subject, fleet));
    }

    /**
     * Returns how many requests this instance may have open.
     *
     * @param total requests that all instances together may have open
     * @return the part, zero or more
     */
    public int part(int total) {
        checkArgument(total >= 0, "negative total: %s", total);
        int instances = ranking.ranked().size();
        return total / instances + (ranking.rank() < total % instances ? 1 : 0);
    }

    /**
     * Returns the names of the instances that hold a part.
     *
     * @param total requests that all instances together may have open
     * @return the names, first ranked first
     */
    public ImmutableList<String> holders(int total) {
        checkArgument(total >= 0, "negative total: %s", total);
        return ranking.ranked().subList(0, Math.min(total, ranking.ranked().size()));
    }
}
