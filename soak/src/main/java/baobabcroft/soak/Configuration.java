package baobabcroft.soak;

import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** The operators' configuration of a run. */
final class Configuration {
    private Configuration() {}

    /** The callers' key. */
    static final String KEY = "secret";

    private static final String OTHER_KEY = "other";

    /**
     * Returns a configuration with one route for each kind of request, all to one service.
     *
     * @param version number of the configuration
     * @param service name of the service
     * @param withdrawn whether the callers' key is not among the keys
     * @param regionsLimited whether some routes are allowed in one region only
     * @param otherRoutes number of routes that no caller uses
     */
    static String text(int version, String service, boolean withdrawn, boolean regionsLimited, int otherRoutes) {
        return String.format(
                Locale.ROOT,
                """
                {"version":%3$d,"routes":[
                 {"name":"chat","host":"127.0.0.1","path_prefix":"/chat/","kind":"streaming","timeout_ms":%1$d,
                  "goal_ms":2000,"priority":1,"service":"%2$s","attempts":3,"resumable":true},
                 {"name":"lookup","host":"127.0.0.1","path_prefix":"/lookup/","kind":"idempotent","timeout_ms":%1$d,
                  "goal_ms":2000,"priority":1,"service":"%2$s","attempts":3%6$s},
                 {"name":"order","host":"127.0.0.1","path_prefix":"/order/","kind":"non_idempotent","timeout_ms":%1$d,
                  "goal_ms":2000,"priority":1,"service":"%2$s","attempts":1%7$s}%5$s],
                 "services":[{"name":"%2$s","max_conns":64}],
                 "tenants":[{"name":"kamera","api_keys":["%4$s"]}]}
                """,
                Callers.TIMEOUT_MILLIS,
                service,
                version,
                withdrawn ? OTHER_KEY : KEY,
                otherRoutes(otherRoutes, service),
                regionsLimited ? Placement.configurationOf(Call.Route.LOOKUP) : "",
                regionsLimited ? Placement.configurationOf(Call.Route.ORDER) : "");
    }

    private static String otherRoutes(int count, String service) {
        return IntStream.range(0, count)
                .mapToObj(number -> String.format(
                        Locale.ROOT,
                        """
                        ,{"name":"other-%1$d","host":"other.example","path_prefix":"/%1$d/","kind":"idempotent",
                          "timeout_ms":6000,"goal_ms":2000,"priority":1,"service":"%2$s","attempts":3,"public":false}
                        """,
                        number,
                        service))
                .collect(Collectors.joining());
    }
}
