package baobabcroft.admin;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * State of an instance.
 *
 * @param instance the instance's name
 * @param failureDomain the failure domain it stands in
 * @param state whether it takes requests
 * @param openRequests requests that are open on it
 * @param config the configuration that it has applied
 * @param authority its authority to take new work
 * @param store the platform's key-value service as this instance sees it
 * @param peers the other instances as this instance sees them
 * @param endpoints the endpoints as this instance sees them
 * @param versions the versions and whether they were stopped
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
        /** It has no configuration yet. */
        STARTING,
        /** It takes requests. */
        SERVING,
        /** It refuses new work until its authority is fresh again. */
        WITHOUT_AUTHORITY,
        /** It is stopping. */
        DRAINING
    }

    /**
     * The configuration that an instance has applied.
     *
     * @param number its number; 0 if there is none
     * @param accepted whether it is known to be in force everywhere
     * @param missing members that have not confirmed it
     */
    public record Config(long number, boolean accepted, List<String> missing) {
        /** Copies the names. */
        public Config {
            missing = ImmutableList.copyOf(missing);
        }
    }

    /**
     * Authority to take new work.
     *
     * @param fresh whether it is fresh
     * @param ageMillis time since the question that last renewed it was sent, in milliseconds
     */
    public record Authority(boolean fresh, long ageMillis) {}

    /**
     * The platform's key-value service.
     *
     * @param available whether its last answer was in time
     * @param heldBills bills that wait in memory for it
     */
    public record Store(boolean available, long heldBills) {}

    /**
     * Another instance.
     *
     * @param name its name
     * @param connected whether there is a connection to it
     * @param configNumber number of the configuration that it last told
     */
    public record Peer(String name, boolean connected, long configNumber) {}

    /**
     * An endpoint.
     *
     * @param name its name
     * @param state whether it gets new requests, as {@code live}, {@code leaving} or {@code ejected}
     * @param openRequests requests of this instance that are open on it
     */
    public record EndpointView(String name, String state, long openRequests) {}

    /**
     * A version.
     *
     * @param version the version as {@code model@version}
     * @param state its state in the rules, or {@code stopped} if it was stopped automatically
     * @param reason why it was stopped; empty if it was not
     */
    public record VersionView(String version, String state, String reason) {}
}
