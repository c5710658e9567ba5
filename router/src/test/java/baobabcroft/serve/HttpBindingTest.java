package baobabcroft.serve;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.net.HostAndPort;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.util.ByteString;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class HttpBindingTest {
    private static final int MAX_HEADER_BYTES = 8_192;
    private static final long STOP_TIMEOUT_MILLIS = 10_000;
    private static final long READ_TIMEOUT_MILLIS = 20_000;
    private static final long UNREAD_MILLIS = 500;
    /** More than the buffers of both sockets hold. */
    private static final int BODY_BYTES = 32 << 20;

    private final ActorSystem<Void> system = ActorSystem.create(Behaviors.empty(), "binding");
    private final InstanceThreads threads = new InstanceThreads();
    private final CompletableFuture<Void> arrived = new CompletableFuture<>();
    private final CompletableFuture<HttpResponse> response = new CompletableFuture<>();

    @AfterEach
    void terminate() {
        threads.close();
        system.terminate();
    }

    @Nested
    final class Stop {
        /** A planned stop once cut off the last whole responses, as these count as ended before they are written. */
        @Test
        void completesOnlyOnceResponsesAreWritten() throws Exception {
            HttpBinding binding = bind();
            try (Socket client = connect(binding)) {
                client.getOutputStream()
                        .write("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
                                .getBytes(StandardCharsets.US_ASCII));
                awaitRequest();
                CompletableFuture<Void> stopped =
                        binding.stop(STOP_TIMEOUT_MILLIS).toCompletableFuture();
                response.complete(largeResponse());

                assertThrows(TimeoutException.class, () -> stopped.get(UNREAD_MILLIS, TimeUnit.MILLISECONDS));
                int read = client.getInputStream().readAllBytes().length;
                assertTrue(read > BODY_BYTES, () -> "read " + read + " bytes");
                stopped.get(READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            }
        }
    }

    private void awaitRequest() throws Exception {
        arrived.get(READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private HttpBinding bind() throws Exception {
        return HttpBinding.bind(
                        HostAndPort.fromParts("127.0.0.1", 0),
                        MAX_HEADER_BYTES,
                        this::handle,
                        system,
                        threads.scheduler())
                .toCompletableFuture()
                .get(READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private CompletionStage<HttpResponse> handle(HttpRequest request) {
        arrived.complete(null);
        return response;
    }

    private static Socket connect(HttpBinding binding) throws Exception {
        HostAndPort address = HostAndPort.fromString(binding.address());
        Socket socket = new Socket();
        socket.setSoTimeout((int) READ_TIMEOUT_MILLIS);
        socket.connect(new InetSocketAddress(address.getHost(), address.getPort()));
        return socket;
    }

    private static HttpResponse largeResponse() {
        return HttpResponse.create()
                .withEntity(HttpEntities.create(
                        ContentTypes.APPLICATION_OCTET_STREAM, ByteString.fromArray(new byte[BODY_BYTES])));
    }
}
