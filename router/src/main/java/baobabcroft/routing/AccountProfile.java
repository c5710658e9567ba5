package baobabcroft.routing;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalInt;

/**
 * Configuration of a client account.
 *
 * @param name name of the account
 * @param priority priority of its requests, 0 first; overrides that of the route; empty if not configured
 * @param allowedRegions the regions in which its requests may be served
 */
public record AccountProfile(String name, OptionalInt priority, AllowedRegions allowedRegions) {
    /** Validates the components. */
    public AccountProfile {
        checkNotNull(name);
        checkNotNull(priority);
        checkNotNull(allowedRegions);
    }
}
