package baobabcroft.ledger;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;

/**
 * Two different kinds of disturbances, in no order.
 *
 * @param first the one that comes first in the alphabet
 * @param second the other one
 */
record KindPair(String first, String second) {
    KindPair {
        checkArgument(first.compareTo(second) < 0, "not in order: %s, %s", first, second);
    }

    static KindPair of(String one, String other) {
        return one.compareTo(other) < 0 ? new KindPair(one, other) : new KindPair(other, one);
    }

    /** Returns all pairs of the given kinds, in order. */
    static ImmutableList<KindPair> allOf(ImmutableSortedSet<String> kinds) {
        ImmutableList.Builder<KindPair> pairs = ImmutableList.builder();
        for (String first : kinds) {
            kinds.tailSet(first, false).forEach(second -> pairs.add(new KindPair(first, second)));
        }
        return pairs.build();
    }

    @Override
    public String toString() {
        return first + " + " + second;
    }
}
