package baobabcroft.ledger;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** How often each pair of kinds was part of the same day of one site. */
final class PairLedger {
    private final ImmutableSortedSet<String> kinds;
    private final ImmutableMap<KindPair, Plays> plays;

    /**
     * The days with a pair of kinds.
     *
     * @param days number of days
     * @param broken number of those on which a rule was broken, by whatever cause
     * @param worstWorth least worth of any of the days
     */
    record Plays(int days, int broken, double worstWorth) {
        static final Plays NONE = new Plays(0, 0, Double.POSITIVE_INFINITY);

        private Plays plus(PlayedDay day) {
            return new Plays(days + 1, broken + (day.broken() ? 1 : 0), Math.min(worstWorth, day.worth()));
        }
    }

    private PairLedger(ImmutableSortedSet<String> kinds, ImmutableMap<KindPair, Plays> plays) {
        this.kinds = kinds;
        this.plays = plays;
    }

    /** Returns the ledger of the given days for pairs of the given kinds; others are ignored. */
    static PairLedger of(List<PlayedDay> days, ImmutableSortedSet<String> kinds) {
        Map<KindPair, Plays> plays = new HashMap<>();
        for (PlayedDay day : days) {
            ImmutableSortedSet<String> counted = ImmutableSortedSet.copyOf(
                    day.kinds().stream().filter(kinds::contains).toList());
            for (KindPair pair : KindPair.allOf(counted)) {
                plays.merge(pair, Plays.NONE.plus(day), (known, unused) -> known.plus(day));
            }
        }
        return new PairLedger(kinds, ImmutableMap.copyOf(plays));
    }

    ImmutableSortedSet<String> kinds() {
        return kinds;
    }

    Plays plays(KindPair pair) {
        return plays.getOrDefault(pair, Plays.NONE);
    }

    /** Returns the pairs that no day had, in order. */
    ImmutableList<KindPair> neverPlayed() {
        return KindPair.allOf(kinds).stream()
                .filter(pair -> plays(pair).days() == 0)
                .collect(ImmutableList.toImmutableList());
    }
}
