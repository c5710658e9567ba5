package baobabcroft.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.directory.EndpointEntry;
import baobabcroft.relay.EndpointRequest;
import baobabcroft.relay.ExchangeListener;
import baobabcroft.relay.Header;
import baobabcroft.relay.Headers;
import baobabcroft.relay.SendFailure;
import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Endpoints that respond before they have read an upload, over sockets on loopback. */
class EndpointUploadTest {
    private static final int UPLOAD_BYTES = 3 << 20;
    private static final long TIMEOUT_SECONDS = 30;
    private static final String PART = "HTTP/1.1 200 OK\r\nid: r-1\r\n\r\npart of body";
    private static final String WHOLE = "HTTP/1.1 200 OK\r\nid: r-1\r\nContent-Length: 5\r\n\r\nwhole";

    private final EventLoopGroup loop = new NioEventLoopGroup(1);
    private final AtomicReference<String> result = new AtomicReference<>("none");
    private final CountDownLatch ended = new CountDownLatch(1);
    private final CountDownLatch partReceived = new CountDownLatch(1);
    private ServerSocket endpoint;

    @BeforeEach
    void listen() throws IOException {
        endpoint = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void stop() throws IOException {
        endpoint.close();
        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    /** Records how the exchange ends. */
    private final class Recorder implements ExchangeListener {
        private String body = "";

        @Override
        public void onHead(int status, Headers headers) {
            body += status + " ";
        }

        @Override
        public void onData(byte[] data) {
            body += new String(data, StandardCharsets.UTF_8);
            partReceived.countDown();
        }

        @Override
        public void onEnd() {
            result.set(body);
            ended.countDown();
        }

        @Override
        public void onFailure(SendFailure failure) {
            result.set(failure.name());
            ended.countDown();
        }
    }

    private Socket upload(int bytes) throws IOException {
        HostAndPort address = HostAndPort.fromParts("127.0.0.1", endpoint.getLocalPort());
        EndpointConnectionPool pool = new EndpointConnectionPool(
                loop.next(),
                (millis, task) -> () -> {},
                (id, headers) -> headers.first("id").filter(id::equals).isPresent(),
                request -> false,
                new ConnectionObserver() {
                    @Override
                    public void onOpened(String failureDomain, double connectMillis) {}

                    @Override
                    public void onFailed() {}

                    @Override
                    public void onUnexpectedBytes(UnexpectedBytes unexpected) {}
                });
        EndpointRequest request = new EndpointRequest(
                "r-1", true, "POST", "/", Headers.copyOf(ImmutableList.of(new Header("id", "r-1"))), new byte[bytes]);
        loop.next()
                .execute(() -> pool.send(
                        new EndpointEntry("e", "work", address, "here", "v1", 1, false, 1), request, new Recorder()));
        Socket accepted = endpoint.accept();
        accepted.getInputStream().read();
        return accepted;
    }

    private static void respond(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private String result() throws InterruptedException {
        assertTrue(ended.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), "the exchange has not ended");
        return result.get();
    }

    /** Guards against a broken-off response that is passed on as a whole one: its end is not known to be its end. */
    @Test
    void aResponseThatEndsWithItsConnectionDuringTheUploadIsBrokenOff() throws Exception {
        try (Socket socket = upload(UPLOAD_BYTES)) {
            respond(socket, PART);
            socket.shutdownOutput();

            assertEquals("CONNECTION_LOST", result());
        }
    }

    @Test
    void aResponseThatEndsWithAResetDuringTheUploadIsBrokenOff() throws Exception {
        try (Socket socket = upload(UPLOAD_BYTES)) {
            respond(socket, PART);
            assertTrue(partReceived.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
            socket.setSoLinger(true, 0);
        }

        assertEquals("CONNECTION_LOST", result());
    }

    @Test
    void aResponseOfStatedLengthDuringTheUploadIsWhole() throws Exception {
        try (Socket socket = upload(UPLOAD_BYTES)) {
            respond(socket, WHOLE);

            assertEquals("200 whole", result());
            InputStream rest = socket.getInputStream();
            while (rest.read(new byte[65_536]) >= 0) {
                // Reads what was written before the router closed the connection, which must not be reused.
            }
        } catch (IOException reset) {
            assertEquals("200 whole", result());
        }
    }

    @Test
    void aResponseThatEndsWithItsConnectionAfterTheUploadIsWhole() throws Exception {
        try (Socket socket = upload(UPLOAD_BYTES)) {
            // The head of the request takes a few more bytes; the rest of them fit into the buffers.
            socket.getInputStream().readNBytes(UPLOAD_BYTES);
            respond(socket, PART);
            socket.shutdownOutput();

            assertEquals("200 part of body", result());
        }
    }

    /** Guards against malformed status lines that are passed on, or that hold the request until its deadline. */
    @ParameterizedTest
    @ValueSource(strings = {"1000", "0200", "000", "099", "99", "600", "abc", "20", "2 0", "+20", "999", ""})
    void aStatusThatIsNotThreeDigitsFrom100To599IsMalformed(String status) throws Exception {
        try (Socket socket = upload(2)) {
            respond(socket, "HTTP/1.1 " + status + " OK\r\nid: r-1\r\nContent-Length: 5\r\n\r\nwhole");

            assertEquals("ANSWER_MALFORMED", result());
        }
    }
}
