package baobabcroft.relay;

import baobabcroft.directory.EndpointEntry;
import baobabcroft.routing.ServiceProfile;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMultiset;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/** Chooses endpoints of one service for one request. */
final class EndpointSelection {
    private final RelayServices services;
    private final Admission.Admitted admitted;
    private final String service;

    EndpointSelection(RelayServices services, Admission.Admitted admitted, String service) {
        this.services = services;
        this.admitted = admitted;
        this.service = service;
    }

    /** Returns the best endpoint whose id is not excluded; empty if none may get the request now. */
    Optional<EndpointChooser.Choice> choose(Optional<String> model, Set<String> excluded) {
        CallerMetadata metadata = admitted.metadata();
        ImmutableList<EndpointEntry> selected = services.versionSelector()
                .selectEndpoints(service, accepting(), metadata.session(), metadata.requestId());
        return services.endpointChooser()
                .choose(
                        services.eligibility().admitting(selected, admitted.eligibilityRequest(service, model)),
                        excluded,
                        admitted.serviceProfile(service),
                        model,
                        metadata.prompt());
    }

    /** Returns whether any endpoint may serve the request, whatever its load. */
    boolean hasPlaceable() {
        return !accepting().isEmpty();
    }

    /** Returns why the service's endpoints are excluded, with the number of endpoints for each reason. */
    ImmutableMultiset<Ineligibility> exclusions() {
        return services.eligibility()
                .reasons(
                        services.directory().accepting(service),
                        admitted.eligibilityRequest(service, Optional.empty()));
    }

    /** Returns whether the request takes up more token memory than an endpoint has, even if it holds nothing else. */
    boolean isLargerThanMemory(Optional<String> model) {
        return admitted.serviceProfile(service)
                .filter(ServiceProfile::isEngine)
                .filter(profile -> admitted.metadata().prompt().tokenNeed(model).totalTokens() > profile.cacheTokens())
                .isPresent();
    }

    /** Returns the instances that hold a part of what the endpoints take from all instances together. */
    ImmutableSet<String> partHolders() {
        return services.availability().holders(accepting());
    }

    /** Returns the time until an endpoint takes a request of this instance, in milliseconds; 0 if that is not known. */
    long soonestMillis() {
        return services.availability().soonestMillis(accepting()).orElse(0);
    }

    /**
     * Returns how long the request waits for the end of a pause, in milliseconds; empty if it cannot.
     *
     * @param onPlacementChanged run while it waits, when endpoints have been excluded
     */
    OptionalLong enterPauseQueue(long maxWaitMillis, Runnable onPlacementChanged) {
        OptionalLong waitMillis =
                services.pauseQueue().tryEnter(service, services.availability().pauses(accepting()), maxWaitMillis);
        if (waitMillis.isPresent()) {
            services.pauseQueue().addPlacementListener(onPlacementChanged);
        }
        return waitMillis;
    }

    void leavePauseQueue(Runnable onPlacementChanged) {
        services.pauseQueue().leave(service);
        services.pauseQueue().removePlacementListener(onPlacementChanged);
    }

    /** Returns the service's endpoints at which the request may be served, and that are not shutting down. */
    private ImmutableList<EndpointEntry> accepting() {
        return services.eligibility()
                .placeable(
                        services.directory().accepting(service),
                        admitted.eligibilityRequest(service, Optional.empty()));
    }
}
