import java.util.ArrayList;
import java.util.List;

/** Builds the operator's configuration, as written to op/config. */
final class Config {
    /** The key of the only tenant. */
    static final String KEY = "n2ctnfzs989anu6wsjnb";

    /** The host of all routes. */
    static final String HOST = "desk.example";

    private final List<String> routes = new ArrayList<>();
    private final List<String> services = new ArrayList<>();

    /** Adds a route. */
    Config route(String name, String prefix, String kind, String service, int timeoutMillis, int attempts) {
        routes.add("{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"path_prefix\":\"" + prefix + "\",\"kind\":\""
                + kind + "\",\"timeout_ms\":" + timeoutMillis + ",\"goal_ms\":2000,\"priority\":1,\"service\":\""
                + service
                + "\",\"attempts\":" + attempts + ",\"public\":false,\"sticky\":false}");
        return this;
    }

    /** Adds a route whose responses are streams that may be resumed. */
    Config streamRoute(String name, String prefix, String service, int timeoutMillis, int attempts) {
        routes.add("{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"path_prefix\":\"" + prefix
                + "\",\"kind\":\"streaming\",\"timeout_ms\":" + timeoutMillis
                + ",\"goal_ms\":2000,\"priority\":1,\"service\":\""
                + service + "\",\"attempts\":" + attempts
                + ",\"public\":false,\"sticky\":true,\"resumable\":true,\"gap_target_ms\":800}");
        return this;
    }

    /** Adds a service. */
    Config service(String name) {
        services.add("{\"name\":\"" + name + "\",\"max_conns\":370,\"health_path\":\"/healthz\"}");
        return this;
    }

    /** Returns the text of a version. */
    String version(long version) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
                + String.join(",", services)
                + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"" + KEY + "\"]}]}";
    }
}
