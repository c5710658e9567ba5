package baobabcroft.external;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.net.HostAndPort;

/**
 * One entry of the platform's live list.
 *
 * @param name name of the instance or endpoint
 * @param role whether it is an instance or an endpoint
 * @param state whether it accepts requests
 * @param failureDomain the failure domain that it runs in
 * @param address IP address and port; for an instance, its peer listener
 */
public record LiveEntry(String name, Role role, State state, String failureDomain, HostAndPort address) {
    /** Checks the components. */
    public LiveEntry {
        checkArgument(!name.isEmpty(), "name is empty");
        checkNotNull(role);
        checkNotNull(state);
        checkNotNull(failureDomain);
        checkNotNull(address);
    }

    /** Kind of an entry. */
    public enum Role {
        /** An entry instance of the router. */
        INSTANCE,
        /** A model engine or an instance of a plain service. */
        ENDPOINT
    }

    /** Lifecycle state of an entry. */
    public enum State {
        /** Accepts requests. */
        LIVE,
        /** Is shutting down. */
        LEAVING
    }
}
