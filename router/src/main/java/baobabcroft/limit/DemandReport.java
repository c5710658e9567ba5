package baobabcroft.limit;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;

/**
 * Demand that one instance received up to the end of one time slot. Immutable once sent, so that duplicates can be
 * ignored.
 *
 * @param origin origin name of the instance, which differs after each start
 * @param slot number of the time slot, counted from the epoch
 * @param demandByAccount smoothed requests in a slot by account; accounts without demand may be absent
 */
public record DemandReport(String origin, long slot, ImmutableMap<String, Double> demandByAccount) {
    /** Validates the components. */
    public DemandReport {
        checkNotNull(origin);
        checkNotNull(demandByAccount);
    }

    /**
     * Returns the demand of one account.
     *
     * @param account name of the account
     * @return smoothed requests in a slot; zero if the account is absent
     */
    public double demand(String account) {
        return demandByAccount.getOrDefault(account, 0.0);
    }
}
