package baobabcroft.routing;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalInt;

/**
 * A client account.
 *
 * @param name its name
 * @param priority its rank, 0 first, which goes before the route's
 */
public record AccountProfile(String name, OptionalInt priority) {
    /** Checks the parts. */
    public AccountProfile {
        checkNotNull(name);
        checkNotNull(priority);
    }
}
