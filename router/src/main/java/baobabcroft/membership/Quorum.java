package baobabcroft.membership;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableSet;
import java.util.Set;

/**
 * A number of instances, out of given members, that is required for a decision.
 *
 * @param members names of the instances that count
 * @param size required number of members; greater than their count if no decision is possible
 */
public record Quorum(Set<String> members, int size) {
    /** Copies the members and rejects a size that is not positive. */
    public Quorum {
        members = ImmutableSet.copyOf(members);
        checkArgument(size > 0, "size must be positive, was %s", size);
    }

    /**
     * Returns whether a set contains enough members.
     *
     * @param names names of any instances; those that are not members do not count
     * @return whether the quorum is met
     */
    public boolean isMetBy(Set<String> names) {
        return members.stream().filter(names::contains).count() >= size;
    }
}
