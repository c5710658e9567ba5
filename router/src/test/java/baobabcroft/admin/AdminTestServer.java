package baobabcroft.admin;

import baobabcroft.settings.Settings;
import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.ServerBinding;

/** Serves the admin routes over a fake on a free port. */
public final class AdminTestServer implements AutoCloseable {
    /** Bearer key of the operator {@code ann}. */
    public static final String KEY = "ann-key";

    private static final long STOP_SECONDS = 20;

    private final ActorSystem system = ActorSystem.create("admin-test");
    private final FakeAdminOperations operations = new FakeAdminOperations();
    private final ServerBinding binding;

    /** Starts the server. */
    public AdminTestServer() throws Exception {
        String sha256 = Hashing.sha256().hashString(KEY, StandardCharsets.UTF_8).toString();
        AdminKeys keys = AdminKeys.of(
                ImmutableList.of(new Settings.AdminKey("bob", "0".repeat(64)), new Settings.AdminKey("ann", sha256)));
        binding = Http.get(system)
                .newServerAt("127.0.0.1", 0)
                .bind(AdminRoutes.create(operations, keys))
                .toCompletableFuture()
                .get(STOP_SECONDS, TimeUnit.SECONDS);
    }

    /** Returns the fake. */
    public FakeAdminOperations operations() {
        return operations;
    }

    /** Returns the URL to which paths are appended. */
    public URI url() {
        InetSocketAddress address = binding.localAddress();
        return URI.create("http://127.0.0.1:" + address.getPort());
    }

    @Override
    public void close() {
        system.terminate();
        system.getWhenTerminated()
                .toCompletableFuture()
                .copy()
                .orTimeout(STOP_SECONDS, TimeUnit.SECONDS)
                .join();
    }
}
