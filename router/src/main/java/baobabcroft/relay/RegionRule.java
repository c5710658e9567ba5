package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.directory.EndpointEntry;
import baobabcroft.routing.AllowedRegions;
import com.google.common.collect.ImmutableMap;
import java.util.Map;
import java.util.Optional;

/** Excludes endpoints, and other instances, outside the regions that a request may be served in. */
public final class RegionRule implements EndpointEligibility.Rule {
    private final ImmutableMap<String, String> regions;

    /**
     * Creates a rule.
     *
     * @param regions region by failure domain; a failure domain that is not listed is a region of its own
     */
    public RegionRule(Map<String, String> regions) {
        this.regions = ImmutableMap.copyOf(checkNotNull(regions));
    }

    @Override
    public Optional<Ineligibility> check(EndpointEntry endpoint, EligibilityRequest request) {
        return allows(request.allowedRegions(), endpoint.failureDomain())
                ? Optional.empty()
                : Optional.of(Ineligibility.REGION_NOT_ALLOWED);
    }

    /** Returns whether a failure domain is in an allowed region. */
    boolean allows(AllowedRegions allowed, String failureDomain) {
        return allowed.allows(regions.getOrDefault(failureDomain, failureDomain));
    }
}
