package baobabcroft.limit;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import java.util.function.Supplier;

/**
 * What an instance knows of the instances with which it shares limits.
 *
 * @param instance name of this instance
 * @param instances supplies the names of all instances, including this one; the same object until they change
 */
public record FleetView(String instance, Supplier<ImmutableSet<String>> instances) {
    /** Validates the components. */
    public FleetView {
        checkNotNull(instance);
        checkNotNull(instances);
    }

    /**
     * Returns the view of an instance that shares nothing.
     *
     * @return a fleet of one instance
     */
    public static FleetView alone() {
        return new FleetView("", () -> ImmutableSet.of(""));
    }
}
