package baobabcroft.limit;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;

/**
 * Demand that one instance saw up to the end of one time slot. It never changes once told, so hearing it twice does no
 * harm.
 *
 * @param origin the instance
 * @param slot number of the time slot since the epoch
 * @param demandByAccount smoothed requests a slot, by account; accounts without demand may be left out
 */
public record DemandReport(String origin, long slot, ImmutableMap<String, Double> demandByAccount) {
    /** Checks the parts. */
    public DemandReport {
        checkNotNull(origin);
        checkNotNull(demandByAccount);
    }

    /**
     * Returns the demand of one account.
     *
     * @param account the account's name
     * @return smoothed requests a slot
     */
    public double demand(String account) {
        return demandByAccount.getOrDefault(account, 0.0);
    }
}
