package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.directory.EndpointDirectory;
import baobabcroft.directory.EndpointEntry;
import baobabcroft.fairness.ServiceUse;
import baobabcroft.load.PeerLoads.Load;
import baobabcroft.routing.AllowedRegions;
import baobabcroft.routing.RoutingTable;
import baobabcroft.routing.RoutingTableHolder;
import baobabcroft.routing.ServiceProfile;
import java.util.Optional;
import java.util.function.Function;

/** Adds up what the requests of all instances use of the endpoints of a service, without those that take none. */
public final class ServiceUseReader implements Function<String, ServiceUse> {
    /**
     * Share of the token memory that requests can use: {@link MemoryRule} leaves some free at each endpoint, and
     * requests of different sizes do not fill all of them at the same time.
     */
    private static final double USABLE_MEMORY = 0.75;

    private final EndpointDirectory directory;
    private final RoutingTableHolder routing;
    private final EndpointEligibility eligibility;
    private final EndpointLoads loads;

    /**
     * Creates a reader.
     *
     * @param directory the listed endpoints
     * @param routing holds the configuration of the services
     * @param eligibility decides which endpoints take requests at all
     * @param loads state of the endpoints
     */
    public ServiceUseReader(
            EndpointDirectory directory,
            RoutingTableHolder routing,
            EndpointEligibility eligibility,
            EndpointLoads loads) {
        this.directory = checkNotNull(directory);
        this.routing = checkNotNull(routing);
        this.eligibility = checkNotNull(eligibility);
        this.loads = checkNotNull(loads);
    }

    @Override
    public ServiceUse apply(String service) {
        Optional<ServiceProfile> profile = routing.current().flatMap((RoutingTable table) -> table.service(service));
        int batchSlots = profile.map(ServiceProfile::batchSlots).orElse(0);
        long cacheTokens = profile.map(ServiceProfile::cacheTokens).orElse(0L);
        EligibilityRequest anyRequest =
                new EligibilityRequest(AllowedRegions.ALL, profile, Optional.empty(), Prompt.NONE);
        long slots = 0;
        long inFlight = 0;
        long memoryTokens = 0;
        long heldTokens = 0;
        for (EndpointEntry endpoint : eligibility.placeable(directory.accepting(service), anyRequest)) {
            Load load = loads.stateOf(endpoint).load();
            slots += batchSlots > 0 ? batchSlots : endpoint.slots();
            inFlight += load.inFlight();
            memoryTokens += (long) (USABLE_MEMORY * cacheTokens);
            heldTokens += load.heldTokens();
        }
        return new ServiceUse(slots, inFlight, memoryTokens, heldTokens);
    }
}
