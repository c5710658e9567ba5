package baobabcroft.routing;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableCollection;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import com.google.common.primitives.ImmutableIntArray;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** The routes, services, caller limits and client accounts of one configuration version. Immutable. */
public final class RoutingTable {
    private final long version;
    private final ImmutableList<Route> routes;
    private final ImmutableMap<String, HostRoutes> routesByHost;
    private final ImmutableMap<String, ServiceProfile> services;
    private final CallerLimits limits;
    private final ImmutableMap<String, AccountProfile> accountsByKey;
    private final boolean keysRequired;
    private final int lowestPriority;

    private RoutingTable(
            long version,
            ImmutableList<Route> routes,
            ImmutableMap<String, ServiceProfile> services,
            CallerLimits limits,
            ImmutableMap<String, AccountProfile> accountsByKey,
            boolean keysRequired) {
        this.version = version;
        this.routes = routes;
        this.services = services;
        this.limits = limits;
        this.accountsByKey = accountsByKey;
        this.keysRequired = keysRequired;
        this.lowestPriority = lowestPriority(routes, accountsByKey.values());
        this.routesByHost = routesByHost(routes);
    }

    private static ImmutableMap<String, HostRoutes> routesByHost(Collection<Route> routes) {
        Map<String, Map<String, Route>> byPrefix = new HashMap<>();
        for (Route route : routes) {
            byPrefix.computeIfAbsent(route.host().toLowerCase(Locale.ROOT), host -> new HashMap<>())
                    .put(route.pathPrefix(), route);
        }
        return ImmutableMap.copyOf(Maps.transformValues(byPrefix, HostRoutes::of));
    }

    /**
     * The routes of one host.
     *
     * @param byPrefix the routes by path prefix
     * @param prefixLengths the lengths of the prefixes, the greatest first
     */
    private record HostRoutes(ImmutableMap<String, Route> byPrefix, ImmutableIntArray prefixLengths) {
        static HostRoutes of(Map<String, Route> byPrefix) {
            return new HostRoutes(
                    ImmutableMap.copyOf(byPrefix),
                    ImmutableIntArray.copyOf(byPrefix.keySet().stream()
                            .map(String::length)
                            .distinct()
                            .sorted(Comparator.reverseOrder())
                            .toList()));
        }

        /** Compares the path with prefixes of each length once, so that the time does not depend on its slashes. */
        Optional<Route> find(String path) {
            for (int i = 0; i < prefixLengths.length(); i++) {
                int length = prefixLengths.get(i);
                boolean ends = length <= path.length() && path.charAt(length - 1) == '/';
                Route route = ends ? byPrefix.get(path.substring(0, length)) : null;
                if (route != null) {
                    return Optional.of(route);
                }
            }
            return Optional.empty();
        }
    }

    private static int lowestPriority(Collection<Route> routes, Collection<AccountProfile> accounts) {
        int lowest = 0;
        for (Route route : routes) {
            lowest = Math.max(lowest, route.priority());
        }
        for (AccountProfile account : accounts) {
            lowest = Math.max(lowest, account.priority().orElse(0));
        }
        return lowest;
    }

    /**
     * Returns a routing table.
     *
     * @param version version of the configuration
     * @param routes the routes, in the configured order
     * @param services the services by name
     * @param limits limits for requests of callers
     * @param accountsByKey the client accounts by API key
     * @param keysRequired whether routes without public access require an API key
     * @return the table
     */
    public static RoutingTable of(
            long version,
            Collection<Route> routes,
            Map<String, ServiceProfile> services,
            CallerLimits limits,
            Map<String, AccountProfile> accountsByKey,
            boolean keysRequired) {
        return new RoutingTable(
                version,
                ImmutableList.copyOf(routes),
                ImmutableMap.copyOf(services),
                checkNotNull(limits),
                ImmutableMap.copyOf(accountsByKey),
                keysRequired);
    }

    /**
     * Returns the route of a request: among the routes of the host, the one with the longest matching path prefix.
     *
     * @param host host of the request, without a port; not case-sensitive
     * @param path path of the request, without the query
     * @return the route, or empty if none matches
     */
    public Optional<Route> find(String host, String path) {
        return Optional.ofNullable(routesByHost.get(host.toLowerCase(Locale.ROOT)))
                .flatMap(hostRoutes -> hostRoutes.find(path));
    }

    /**
     * Returns the client account of an API key.
     *
     * @param key the API key of the request
     * @return the account, or empty if the key is unknown
     */
    public Optional<AccountProfile> accountOf(String key) {
        return Optional.ofNullable(accountsByKey.get(key));
    }

    /**
     * Returns the client accounts.
     *
     * @return the accounts; one with several keys is repeated
     */
    public ImmutableCollection<AccountProfile> accounts() {
        return accountsByKey.values();
    }

    /**
     * Returns how many of the kinds of requests of a service come before one.
     *
     * @param service name of the service
     * @param priority priority of the requests, 0 first
     * @param goalMillis their latency goal, in milliseconds: of equal priorities the shorter one comes first
     * @return the share of the service's routes that are more urgent, from 0 to 1
     */
    public double precedence(String service, int priority, long goalMillis) {
        int all = 0;
        int before = 0;
        for (Route route : routes) {
            if (route.targets().stream().anyMatch(target -> target.service().equals(service))) {
                all++;
                boolean moreUrgent = route.priority() < priority
                        || (route.priority() == priority && route.goalMillis() < goalMillis);
                before += moreUrgent ? 1 : 0;
            }
        }
        return all == 0 ? 0 : (double) before / all;
    }

    /**
     * Returns the configuration of a service.
     *
     * @param service name of the service
     * @return its profile, or empty if it is not configured
     */
    public Optional<ServiceProfile> service(String service) {
        return Optional.ofNullable(services.get(service));
    }

    /**
     * Returns the version of the configuration.
     *
     * @return a number that grows with each change
     */
    public long version() {
        return version;
    }

    /**
     * Returns the lowest priority of routes and client accounts.
     *
     * @return the greatest number, 0 being the highest priority
     */
    public int lowestPriority() {
        return lowestPriority;
    }

    /**
     * Returns the routes.
     *
     * @return the routes, in the configured order
     */
    public ImmutableList<Route> routes() {
        return routes;
    }

    /**
     * Returns the limits for requests of callers.
     *
     * @return the limits
     */
    public CallerLimits limits() {
        return limits;
    }

    /**
     * Returns whether a route requires an API key.
     *
     * @param route the route
     * @return false for public routes and if no accounts are configured
     */
    public boolean needsKey(Route route) {
        return keysRequired && !route.publicAccess();
    }
}
