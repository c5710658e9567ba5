package baobabcroft.standin.http;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.SharedKillSwitch;
import org.apache.pekko.stream.TLSProtocol;
import org.apache.pekko.stream.javadsl.BidiFlow;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Tcp;
import org.apache.pekko.util.ByteString;

/**
 * HTTP server on the loopback interface with injectable connection faults: open connections can be aborted and new ones
 * refused. Thread-safe.
 */
public final class HttpStandin implements AutoCloseable {
    private static final String LOOPBACK = "127.0.0.1";
    private static final int BACKLOG = 1024;
    private static final long BIND_TIMEOUT_SECONDS = 10;
    private static final long BODY_TIMEOUT_MILLIS = 60_000;

    private final ActorSystem system = StandinSystem.shared();
    private final Function<Exchange, CompletionStage<HttpResponse>> handler;
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
    private final int port;
    private Tcp.ServerBinding binding;
    private boolean closed;

    private HttpStandin(int port, Function<Exchange, CompletionStage<HttpResponse>> handler) {
        this.handler = checkNotNull(handler);
        this.binding = bind(port);
        this.port = binding.localAddress().getPort();
    }

    /**
     * Starts a server.
     *
     * @param port the TCP port, or 0 to bind an ephemeral port
     * @param handler computes the response to each request; a failure of it is answered with 500
     * @return the running server
     */
    public static HttpStandin start(int port, Function<Exchange, CompletionStage<HttpResponse>> handler) {
        return new HttpStandin(port, handler);
    }

    private Tcp.ServerBinding bind(int requestedPort) {
        CompletionStage<Tcp.ServerBinding> bound = Tcp.get(system)
                .bind(LOOPBACK, requestedPort, BACKLOG, List.of(), false, Optional.empty())
                .to(Sink.foreach(connection -> system.dispatcher().execute(() -> serve(connection))))
                .run(system);
        return bound.toCompletableFuture()
                .orTimeout(BIND_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .join();
    }

    private void serve(Tcp.IncomingConnection incoming) {
        Connection connection = new Connection();
        connections.add(connection);
        var unused = connection.closed().thenRun(() -> connections.remove(connection));
        Flow<ByteString, ByteString, NotUsed> wire = Flow.<ByteString>create()
                .via(connection.killSwitch.flow())
                .via(incoming.flow())
                .via(connection.killSwitch.flow())
                .watchTermination((mat, done) -> {
                    done.whenComplete((ok, failure) -> connection.markClosed());
                    return NotUsed.getInstance();
                });
        Flow<HttpRequest, HttpResponse, NotUsed> answers =
                Flow.<HttpRequest>create().mapAsync(1, request -> respond(request, connection));
        answers.join(Http.get(system).serverLayer().atop(plainText()).join(wire))
                .run(system);
    }

    private static BidiFlow<TLSProtocol.SslTlsOutbound, ByteString, ByteString, TLSProtocol.SslTlsInbound, NotUsed>
            plainText() {
        Flow<TLSProtocol.SslTlsOutbound, ByteString, NotUsed> outbound = Flow.<TLSProtocol.SslTlsOutbound>create()
                .collectType(TLSProtocol.SendBytes.class)
                .map(TLSProtocol.SendBytes::bytes);
        Flow<ByteString, TLSProtocol.SslTlsInbound, NotUsed> inbound =
                Flow.<ByteString>create().map(bytes -> new TLSProtocol.SessionBytes(null, bytes));
        return BidiFlow.fromFlows(outbound, inbound);
    }

    private CompletionStage<HttpResponse> respond(HttpRequest request, Connection connection) {
        return request.entity()
                .toStrict(BODY_TIMEOUT_MILLIS, system)
                .thenCompose(body ->
                        handler.apply(new Exchange(request, body.getData().utf8String(), connection)))
                .exceptionally(failure -> HttpResponse.create()
                        .withStatus(StatusCodes.INTERNAL_SERVER_ERROR)
                        .withEntity(String.valueOf(failure)));
    }

    /**
     * Returns the server's port.
     *
     * @return the TCP port, which stays the same while connections are refused
     */
    public int port() {
        return port;
    }

    /** Aborts all connections open at the time of the call. A connection accepted concurrently may stay open. */
    public void abortAll() {
        List.copyOf(connections).forEach(Connection::abort);
    }

    /** Aborts all connections and refuses new ones until {@link #acceptConnections} is called. */
    public synchronized void refuseConnections() {
        if (binding != null) {
            binding.unbind().toCompletableFuture().join();
            binding = null;
        }
        abortAll();
    }

    /** Accepts connections again after {@link #refuseConnections}; does nothing after {@link #close}. */
    public synchronized void acceptConnections() {
        if (binding == null && !closed) {
            binding = bind(port);
        }
    }

    /**
     * Aborts all connections and refuses new ones for a limited time. Returns without waiting.
     *
     * @param millis how long to refuse connections, in milliseconds
     */
    public void refuseConnectionsFor(long millis) {
        system.dispatcher().execute(() -> {
            refuseConnections();
            DelayedTasks.run(millis, this::acceptConnections);
        });
    }

    @Override
    public synchronized void close() {
        closed = true;
        refuseConnections();
    }

    private static final class Connection implements Exchange.Connection {
        private final SharedKillSwitch killSwitch = KillSwitches.shared("connection");
        private final CompletableFuture<Void> closed = new CompletableFuture<>();

        @Override
        public void abort() {
            killSwitch.abort(new IllegalStateException("connection aborted by the stand-in"));
            markClosed();
        }

        private void markClosed() {
            closed.complete(null);
        }

        @Override
        public CompletionStage<Void> closed() {
            return closed;
        }
    }
}
