package baobabcroft.ledger;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSortedSet;

/**
 * A day that was played.
 *
 * @param site name of the deployment
 * @param kinds kinds of disturbances of the day; empty if the journal does not say
 * @param broken whether a rule was broken
 * @param worth share of what callers were owed that they got, after prices
 */
record PlayedDay(String site, ImmutableSortedSet<String> kinds, boolean broken, double worth) {
    PlayedDay {
        checkNotNull(site);
        checkNotNull(kinds);
    }
}
