package baobabcroft.external;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.net.HostAndPort;

/**
 * One entry of the platform's live list.
 *
 * @param name name of the instance or endpoint
 * @param role what it is
 * @param state whether it stays
 * @param failureDomain the failure domain it stands in
 * @param address IP number and port; for an instance, where it listens for the other instances
 */
public record LiveEntry(String name, Role role, State state, String failureDomain, HostAndPort address) {
    /** Checks the parts. */
    public LiveEntry {
        checkArgument(!name.isEmpty(), "name is empty");
        checkNotNull(role);
        checkNotNull(state);
        checkNotNull(failureDomain);
        checkNotNull(address);
    }

    /** What an entry is. */
    public enum Role {
        /** An entry instance of the router. */
        INSTANCE,
        /** A model engine or an instance of a plain service. */
        ENDPOINT
    }

    /** Whether an entry stays. */
    public enum State {
        /** It takes work. */
        LIVE,
        /** It is being stopped. */
        LEAVING
    }
}
