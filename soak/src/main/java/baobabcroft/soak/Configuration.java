package baobabcroft.soak;

import java.util.Locale;

/** The operators' configuration of a run. */
final class Configuration {
    private Configuration() {}

    /** Returns a configuration with one route for each kind of request, all to one service. */
    static String text(String service) {
        return String.format(
                Locale.ROOT,
                """
                {"version":1,"routes":[
                 {"name":"chat","host":"127.0.0.1","path_prefix":"/chat/","kind":"streaming","timeout_ms":%1$d,
                  "goal_ms":2000,"priority":1,"service":"%2$s","attempts":3,"resumable":true},
                 {"name":"lookup","host":"127.0.0.1","path_prefix":"/lookup/","kind":"idempotent","timeout_ms":%1$d,
                  "goal_ms":2000,"priority":1,"service":"%2$s","attempts":3},
                 {"name":"order","host":"127.0.0.1","path_prefix":"/order/","kind":"non_idempotent","timeout_ms":%1$d,
                  "goal_ms":2000,"priority":1,"service":"%2$s","attempts":1}],
                 "services":[{"name":"%2$s","max_conns":64}],
                 "tenants":[{"name":"kamera","api_keys":["secret"]}]}
                """,
                Callers.TIMEOUT_MILLIS,
                service);
    }
}
