package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.directory.EndpointEntry;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMultiset;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * Decides which endpoints a request may use.
 *
 * <p>Placement rules decide where a request may be served at all, whatever the load. Admission rules decide whether an
 * endpoint takes it at this moment. Each rule that excludes an endpoint gives a reason. Not thread-safe.
 */
public final class EndpointEligibility {
    /** A rule on one endpoint and one request. */
    @FunctionalInterface
    public interface Rule {
        /**
         * Returns why an endpoint must not get a request.
         *
         * @param endpoint the endpoint
         * @param request the request
         * @return the reason; empty if this rule allows it
         */
        Optional<Ineligibility> check(EndpointEntry endpoint, EligibilityRequest request);
    }

    private final ImmutableList<Rule> placementRules;
    private final ImmutableList<Rule> admissionRules;

    private EndpointEligibility(ImmutableList<Rule> placementRules, ImmutableList<Rule> admissionRules) {
        this.placementRules = placementRules;
        this.admissionRules = admissionRules;
    }

    /**
     * Returns an object that applies rules in the given order.
     *
     * @param placementRules rules on where requests may be served at all
     * @param admissionRules rules on whether endpoints take requests at the moment
     * @return the new object
     */
    public static EndpointEligibility of(Collection<Rule> placementRules, Collection<Rule> admissionRules) {
        return new EndpointEligibility(ImmutableList.copyOf(placementRules), ImmutableList.copyOf(admissionRules));
    }

    /** Returns the endpoints at which the request may be served, whatever their load. */
    ImmutableList<EndpointEntry> placeable(Collection<EndpointEntry> endpoints, EligibilityRequest request) {
        return filter(endpoints, request, placementRules);
    }

    /** Returns those of the placeable endpoints that take the request at the moment. */
    ImmutableList<EndpointEntry> admitting(Collection<EndpointEntry> placeable, EligibilityRequest request) {
        return filter(placeable, request, admissionRules);
    }

    /** Returns whether a request may be served at an endpoint, whatever its load. */
    boolean isPlaceable(EndpointEntry endpoint, EligibilityRequest request) {
        return firstReason(endpoint, request, placementRules).isEmpty();
    }

    /** Returns why endpoints are excluded, with the number of endpoints for each reason. */
    ImmutableMultiset<Ineligibility> reasons(Collection<EndpointEntry> endpoints, EligibilityRequest request) {
        ImmutableMultiset.Builder<Ineligibility> reasons = ImmutableMultiset.builder();
        for (EndpointEntry endpoint : endpoints) {
            firstReason(endpoint, request, placementRules)
                    .or(() -> firstReason(endpoint, request, admissionRules))
                    .ifPresent(reasons::add);
        }
        return reasons.build();
    }

    private static ImmutableList<EndpointEntry> filter(
            Collection<EndpointEntry> endpoints, EligibilityRequest request, List<Rule> rules) {
        checkNotNull(request);
        ImmutableList.Builder<EndpointEntry> allowed = ImmutableList.builder();
        for (EndpointEntry endpoint : endpoints) {
            if (firstReason(endpoint, request, rules).isEmpty()) {
                allowed.add(endpoint);
            }
        }
        return allowed.build();
    }

    private static Optional<Ineligibility> firstReason(
            EndpointEntry endpoint, EligibilityRequest request, List<Rule> rules) {
        for (Rule rule : rules) {
            Optional<Ineligibility> reason = rule.check(endpoint, request);
            if (reason.isPresent()) {
                return reason;
            }
        }
        return Optional.empty();
    }
}
