package baobabcroft.routing;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Collection;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** All that operators configured, at one version. Immutable. */
public final class RoutingTable {
    private final long version;
    private final ImmutableList<Route> routes;
    private final Map<String, Map<String, Route>> routesByHost = new HashMap<>();
    private final ImmutableMap<String, ServiceProfile> services;
    private final CallerLimits limits;
    private final ImmutableMap<String, AccountProfile> accountsByKey;
    private final boolean keysRequired;

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
        for (Route route : routes) {
            routesByHost
                    .computeIfAbsent(route.host().toLowerCase(Locale.ROOT), host -> new HashMap<>())
                    .put(route.pathPrefix(), route);
        }
    }

    /**
     * Returns a table.
     *
     * @param version the operators' version
     * @param routes the routes
     * @param services the services
     * @param limits what callers may send
     * @param accountsByKey the client accounts by the keys that callers present
     * @param keysRequired whether routes that are not public need a key
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
     * Returns the route of a request: of the host's routes the one with the longest prefix.
     *
     * @param host the host that the caller named, without a port
     * @param path the path, without a query
     * @return the route, or empty if none matches
     */
    public Optional<Route> find(String host, String path) {
        Map<String, Route> byPrefix = routesByHost.get(host.toLowerCase(Locale.ROOT));
        if (byPrefix == null) {
            return Optional.empty();
        }
        for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
            Route route = byPrefix.get(path.substring(0, slash + 1));
            if (route != null) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the client account of a key.
     *
     * @param key the key that the caller presented
     * @return the account, or empty if no account holds the key
     */
    public Optional<AccountProfile> accountOf(String key) {
        return Optional.ofNullable(accountsByKey.get(key));
    }

    /**
     * Returns what is configured of a service.
     *
     * @param service name of the service
     * @return its profile, or empty if it is not configured
     */
    public Optional<ServiceProfile> service(String service) {
        return Optional.ofNullable(services.get(service));
    }

    /**
     * Returns the operators' version.
     *
     * @return a number that grows with each change
     */
    public long version() {
        return version;
    }

    /**
     * Returns the routes.
     *
     * @return the routes in the operators' order
     */
    public ImmutableList<Route> routes() {
        return routes;
    }

    /**
     * Returns what callers may send.
     *
     * @return the limits
     */
    public CallerLimits limits() {
        return limits;
    }

    /**
     * Returns whether a route needs a key.
     *
     * @param route the route
     * @return false for public routes and where no accounts are configured
     */
    public boolean needsKey(Route route) {
        return keysRequired && !route.publicAccess();
    }
}
