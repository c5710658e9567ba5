package baobabcroft.standin.http;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigFactory;
import org.apache.pekko.actor.ActorSystem;

/** Actor system shared by all stand-ins of a process; its threads are daemon threads. Thread-safe. */
public final class StandinSystem {
    private static final String SETTINGS =
            """
            pekko.daemonic = on
            pekko.loglevel = "OFF"
            pekko.stdout-loglevel = "OFF"
            pekko.jvm-shutdown-hooks = off
            pekko.coordinated-shutdown.run-by-jvm-shutdown-hook = off
            pekko.http.server.request-timeout = infinite
            pekko.http.server.idle-timeout = infinite
            pekko.http.server.server-header = ""
            pekko.http.parsing.max-content-length = 64m
            pekko.http.client.idle-timeout = infinite
            pekko.http.host-connection-pool.max-connections = 1024
            pekko.http.host-connection-pool.max-open-requests = 32768
            """;

    private StandinSystem() {}

    /**
     * Returns the shared actor system, started on first use.
     *
     * @return the actor system
     */
    public static ActorSystem shared() {
        return Holder.SYSTEM;
    }

    private static final class Holder {
        private static final ActorSystem SYSTEM = start();

        private static ActorSystem start() {
            Config config = ConfigFactory.parseString(SETTINGS).withFallback(ConfigFactory.load());
            return ActorSystem.create("standins", config);
        }
    }
}
