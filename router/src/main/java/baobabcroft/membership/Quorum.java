package baobabcroft.membership;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableSet;
import java.util.Set;

/**
 * How many of which instances decide.
 *
 * @param members those who count
 * @param size how many of them are needed; more than there are if they cannot decide
 */
public record Quorum(Set<String> members, int size) {
    /** Checks and copies the members. */
    public Quorum {
        members = ImmutableSet.copyOf(members);
        checkArgument(size > 0, "size must be positive, was %s", size);
    }

    /**
     * Returns whether enough of the members are in a set.
     *
     * @param names any instances; those who are not members do not count
     * @return whether they decide
     */
    public boolean isMetBy(Set<String> names) {
        return members.stream().filter(names::contains).count() >= size;
    }
}
