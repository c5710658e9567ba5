package baobabcroft.soak;

import com.google.common.collect.ImmutableMap;
import com.google.common.primitives.Ints;
import java.util.Locale;
import java.util.Optional;

/** Where the endpoints of a run are, and where its routes may be served while regions are limited. */
final class Placement {
    private static final int DOMAINS = 3;
    private static final String NORTH = "north";
    private static final String SOUTH = "south";
    private static final String ENDPOINT_PREFIX = "endpoint-";
    /** The only allowed region of a route while regions are limited; other routes may be served anywhere. */
    private static final ImmutableMap<Call.Route, String> LIMITED =
            ImmutableMap.of(Call.Route.LOOKUP, NORTH, Call.Route.ORDER, SOUTH);

    private Placement() {}

    /** Returns the failure domain of an instance or of an endpoint by its number. */
    static String failureDomain(int number) {
        return "zone-" + number % DOMAINS;
    }

    /** Returns the region of a failure domain: two failure domains are in one, the third in another. */
    static String region(String failureDomain) {
        return failureDomain.equals(failureDomain(DOMAINS - 1)) ? SOUTH : NORTH;
    }

    /** Returns the id of an endpoint by its number. */
    static String endpointId(int number) {
        return ENDPOINT_PREFIX + number;
    }

    /** Returns the failure domain of an endpoint by its id; empty if it is none of a run. */
    static Optional<String> failureDomainOf(String endpointId) {
        return endpointId.startsWith(ENDPOINT_PREFIX)
                ? Optional.ofNullable(Ints.tryParse(endpointId.substring(ENDPOINT_PREFIX.length())))
                        .map(Placement::failureDomain)
                : Optional.empty();
    }

    /** Returns the region to which a route is limited; empty if it may be served anywhere. */
    static Optional<String> limitOf(Call.Route route) {
        return Optional.ofNullable(LIMITED.get(route));
    }

    /** Returns the field of a route in the configuration while regions are limited. */
    static String configurationOf(Call.Route route) {
        return limitOf(route)
                .map(region -> String.format(Locale.ROOT, ",\"allowed_regions\":[\"%s\"]", region))
                .orElse("");
    }
}
