package baobabcroft.instance;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.directory.EndpointDirectory;
import baobabcroft.directory.EndpointEntry;
import baobabcroft.directory.EvacuatedDomains;
import baobabcroft.metrics.RouterMetrics;
import baobabcroft.relay.EndpointAvailability;
import baobabcroft.relay.EndpointEligibility;
import baobabcroft.relay.Ineligibility;
import baobabcroft.relay.RegionRule;
import com.google.common.collect.ImmutableList;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToIntFunction;

/** Where an instance may have requests served: allowed regions, evacuated failure domains, endpoints that leave. */
final class PlacementRules {
    private final EndpointDirectory directory;
    private final EvacuatedDomains evacuated;

    PlacementRules(EndpointDirectory directory, EvacuatedDomains evacuated) {
        this.directory = checkNotNull(directory);
        this.evacuated = checkNotNull(evacuated);
    }

    /**
     * Returns the rules in the order in which they give their reasons.
     *
     * @param regions region by failure domain
     * @param availability what endpoints have stated
     */
    ImmutableList<EndpointEligibility.Rule> rules(Map<String, String> regions, EndpointAvailability availability) {
        return ImmutableList.of(
                new RegionRule(regions),
                (endpoint, request) -> when(isEvacuated(endpoint), Ineligibility.EVACUATED),
                (endpoint, request) -> when(availability.isLeaving(endpoint), Ineligibility.LEAVING));
    }

    private static Optional<Ineligibility> when(boolean excluded, Ineligibility reason) {
        return excluded ? Optional.of(reason) : Optional.empty();
    }

    private boolean isEvacuated(EndpointEntry endpoint) {
        return evacuated.contains(endpoint.failureDomain());
    }

    /**
     * Returns the endpoints by which an instance finds out whether it is isolated. Those of evacuated failure domains
     * are not among them: the domain may be about to be switched off, and they serve no request.
     */
    ImmutableList<EndpointEntry> reachableEndpoints() {
        return directory.accepting().stream()
                .filter(endpoint -> !isEvacuated(endpoint))
                .collect(ImmutableList.toImmutableList());
    }

    /**
     * Registers gauges that show operators how far an evacuation has come.
     *
     * @param metrics the metrics of the instance
     * @param openRequests returns how many requests this instance has open at an endpoint
     */
    void registerGauges(RouterMetrics metrics, ToIntFunction<EndpointEntry> openRequests) {
        metrics.gauge("evacuation.domains", evacuated::size);
        metrics.gauge("evacuation.open_requests", () -> directory.ids().stream()
                .map(directory::find)
                .flatMap(Optional::stream)
                .filter(this::isEvacuated)
                .mapToInt(openRequests)
                .sum());
    }
}
