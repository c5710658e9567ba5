package baobabcroft.routing;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.Collection;
import java.util.Optional;

/**
 * Regions in which requests may be served, cached and stored. Immutable.
 *
 * @param names the regions; empty if all are allowed
 */
public record AllowedRegions(Optional<ImmutableSet<String>> names) {
    /** All regions. */
    public static final AllowedRegions ALL = new AllowedRegions(Optional.empty());

    /**
     * Returns the regions that a configuration lists.
     *
     * @param names names of regions
     * @return these regions; all regions if the list is empty
     */
    public static AllowedRegions ofList(Collection<String> names) {
        return names.isEmpty() ? ALL : new AllowedRegions(Optional.of(ImmutableSet.copyOf(names)));
    }

    /**
     * Returns the regions that both allow.
     *
     * @param other other regions
     * @return the intersection, which may allow no region
     */
    public AllowedRegions and(AllowedRegions other) {
        if (names.isEmpty()) {
            return other;
        }
        return other.names.isEmpty()
                ? this
                : new AllowedRegions(Optional.of(
                        Sets.intersection(names.get(), other.names.get()).immutableCopy()));
    }

    /**
     * Returns whether some region may be excluded.
     *
     * @return false if all regions are allowed
     */
    public boolean isRestricted() {
        return names.isPresent();
    }

    /**
     * Returns whether a region is allowed.
     *
     * @param region name of the region
     * @return whether requests may be served there
     */
    public boolean allows(String region) {
        return names.isEmpty() || names.get().contains(region);
    }
}
