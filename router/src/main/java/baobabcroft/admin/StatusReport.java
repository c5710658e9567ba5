package baobabcroft.admin;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * State of an instance.
 *
 * @param instance name of the instance
 * @param failureDomain failure domain of the instance
 * @param state whether the instance takes requests
 * @param openRequests number of open requests
 * @param config the configuration that the instance has applied
 * @param authority the instance's authority to take new work
 * @param store the platform's key-value service, as seen by this instance
 * @param peers the other instances, as seen by this instance
 * @param endpoints the endpoints, as seen by this instance
 * @param versions the versions in the rules
 */
public record StatusReport(
        String instance,
        String failureDomain,
        State state,
        long openRequests,
        Config config,
        Authority authority,
        Store store,
        List<Peer> peers,
        List<EndpointView> endpoints,
        List<VersionView> versions) {
    /** Copies the lists. */
    public StatusReport {
        peers = ImmutableList.copyOf(peers);
        endpoints = ImmutableList.copyOf(endpoints);
        versions = ImmutableList.copyOf(versions);
    }

    /** Whether an instance takes requests. */
    public enum State {
        /** The instance has no configuration yet. */
        STARTING,
        /** The instance takes requests. */
        SERVING,
        /** The instance refuses new work until its authority is renewed. */
        WITHOUT_AUTHORITY,
        /** The instance is carrying out a planned stop. */
        DRAINING
    }

    /**
     * The configuration that an instance has applied.
     *
     * @param number number of the configuration; 0 if there is none
     * @param accepted whether every instance that takes work is known to have applied it
     * @param missing names of the members that have not confirmed it
     */
    public record Config(long number, boolean accepted, List<String> missing) {
        /** Copies the list. */
        public Config {
            missing = ImmutableList.copyOf(missing);
        }
    }

    /**
     * Authority to take new work.
     *
     * @param fresh whether the instance currently has authority
     * @param ageMillis time since sending the request that last renewed the authority, in milliseconds
     */
    public record Authority(boolean fresh, long ageMillis) {}

    /**
     * The platform's key-value service.
     *
     * @param available whether it answered the last request in time
     * @param heldBills number of bills held in memory until they can be written to it
     */
    public record Store(boolean available, long heldBills) {}

    /**
     * Another instance.
     *
     * @param name name of the instance
     * @param connected whether it recently answered heartbeats
     * @param configNumber number of the configuration that it last reported
     */
    public record Peer(String name, boolean connected, long configNumber) {}

    /**
     * An endpoint.
     *
     * @param name name of the endpoint
     * @param state health of the endpoint in lower case, such as {@code ready}, {@code leaving} or {@code ejected}
     * @param openRequests number of this instance's requests that are open on the endpoint
     */
    public record EndpointView(String name, String state, long openRequests) {}

    /**
     * A version.
     *
     * @param version name of the version, as {@code model@version}
     * @param state state of the version in the rules, or {@code stopped} if it was stopped automatically
     * @param reason cause of the automatic stop; empty if the version was not stopped
     */
    public record VersionView(String version, String state, String reason) {}
}
