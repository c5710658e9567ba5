package baobabcroft.routing;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalInt;

/**
 * Configuration of a client account.
 *
 * @param name name of the account
 * @param priority priority of its requests, 0 first; overrides that of the route; empty if not configured
 * @param allowedRegions the regions in which its requests may be served
 * @param weight weight of its share when there is too little capacity for all accounts; positive
 */
public record AccountProfile(String name, OptionalInt priority, AllowedRegions allowedRegions, double weight) {
    /** Validates the components. */
    public AccountProfile {
        checkNotNull(name);
        checkNotNull(priority);
        checkNotNull(allowedRegions);
        checkArgument(weight > 0, "weight not positive: %s", weight);
    }

    /** Creates the configuration of an account of weight 1. */
    public AccountProfile(String name, OptionalInt priority, AllowedRegions allowedRegions) {
        this(name, priority, allowedRegions, 1);
    }
}
