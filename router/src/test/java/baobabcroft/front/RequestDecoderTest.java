package baobabcroft.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RequestDecoderTest {
    private static final int MAX_HEADER_BYTES = 16_384;
    private static final String HEAD = "POST /a HTTP/1.1\r\nHost: a\r\n";
    private static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n";

    private boolean takesMessages = true;
    private int undecodedBytes;
    private int maxHeaderBytes = MAX_HEADER_BYTES;
    private final RequestDecoder decoder = new RequestDecoder(() -> maxHeaderBytes, new RequestDecoder.Intake() {
        @Override
        public boolean takesMessages() {
            return takesMessages;
        }

        @Override
        public void onUndecoded(int bytes) {
            undecodedBytes = bytes;
        }
    });
    private final EmbeddedChannel channel = new EmbeddedChannel(decoder);

    @AfterEach
    void release() {
        channel.finishAndReleaseAll();
    }

    private void receive(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    private String nextContent() {
        HttpContent content = channel.readInbound();
        String text = content.content().toString(StandardCharsets.ISO_8859_1);
        ReferenceCountUtil.release(content);
        return text;
    }

    /** Guards against memory exhaustion by unfinished heads: each decoded line takes many times its length. */
    @Test
    void keepsAHeadAsReceivedUntilItIsComplete() {
        receive("\r\n" + HEAD);
        receive("g:\r\n".repeat(4_000));

        assertNull(channel.readInbound());
        assertTrue(undecodedBytes >= 16_000 && undecodedBytes <= 64_000, undecodedBytes + " bytes");
    }

    /** Guards against a limit that refuses a single legal request. */
    @Test
    void decodesAHeadOfThousandsOfLines() {
        receive(HEAD + "g:\r\n".repeat(4_000) + "\r");
        assertNull(channel.readInbound());
        receive("\n");

        HttpRequest request = channel.readInbound();
        assertTrue(request.decoderResult().isSuccess());
        assertEquals(4_001, request.headers().size());
        assertEquals(0, undecodedBytes);
    }

    @Test
    void failsAHeadThatIsTooLong() {
        receive(HEAD + "note: " + "x".repeat(20_000));

        HttpRequest request = channel.readInbound();
        assertTrue(request.decoderResult().isFailure());
        receive("x".repeat(20_000));
        assertNull(channel.readInbound());
    }

    /** The limit is raised or lowered while the connection is open. */
    @Nested
    class ChangedLimits {
        private static final String REQUEST = HEAD + "Content-Length: 0\r\n";

        private boolean receiveRequest(int headerBytes) {
            receive(REQUEST + "note: " + "x".repeat(headerBytes) + "\r\n\r\n");
            HttpRequest request = channel.readInbound();
            boolean decoded = request.decoderResult().isSuccess();
            if (decoded) {
                assertTrue(channel.readInbound() instanceof LastHttpContent);
            }
            return decoded;
        }

        /** Guards against a connection that holds to the limit of the time at which it was accepted. */
        @Test
        void applyToTheNextRequest() {
            assertTrue(receiveRequest(10));
            maxHeaderBytes = 2 * MAX_HEADER_BYTES;
            assertTrue(receiveRequest(20_000));
            maxHeaderBytes = MAX_HEADER_BYTES;
            assertFalse(receiveRequest(20_000));
        }

        @Test
        void applyToARequestThatIsBeingReceived() {
            receive(REQUEST + "note: " + "x".repeat(16_000));
            assertNull(channel.readInbound());
            maxHeaderBytes = 2 * MAX_HEADER_BYTES;
            receive("x".repeat(4_000) + "\r\n\r\n");

            HttpRequest request = channel.readInbound();
            assertTrue(request.decoderResult().isSuccess());
        }

        @Test
        void applyToALongRequestLine() {
            String line = "GET /" + "x".repeat(20_000) + " HTTP/1.1\r\nHost: a\r\n\r\n";
            assertTrue(receiveRequest(10));
            maxHeaderBytes = 2 * MAX_HEADER_BYTES;
            receive(line);

            HttpRequest request = channel.readInbound();
            assertTrue(request.decoderResult().isSuccess());
        }
    }

    /** Guards against heads whose lines the parser joins one by one, in time that grows with the square of the head. */
    @ParameterizedTest
    @ValueSource(strings = {"note: a\r\n b\r\n\r\n", "note: a\r\n\tb\r\n", "note: a\r\n \r\n\r\n"})
    void failsFoldedLines(String headers) {
        receive(HEAD + headers);

        HttpRequest request = channel.readInbound();
        assertTrue(request.decoderResult().isFailure());
        assertEquals(
                HttpResponseStatus.BAD_REQUEST,
                Refusals.statusOf(request.decoderResult().cause()));
    }

    @Test
    void failsAChunkSizeLineThatIsTooLong() {
        receive(CHUNKED + "1;" + "x".repeat(20_000));

        assertTrue(channel.readInbound() instanceof HttpRequest);
        HttpContent content = channel.readInbound();
        assertTrue(content.decoderResult().isFailure());
    }

    @Test
    void failsTrailersThatAreTooLong() {
        receive(CHUNKED + "0\r\n" + "t: 1\r\n".repeat(10_000));

        assertTrue(channel.readInbound() instanceof HttpRequest);
        HttpContent content = channel.readInbound();
        assertTrue(content.decoderResult().isFailure());
    }

    /** Guards against a message for each byte, which keeps the event loop busy and the whole read buffer in memory. */
    @Test
    void joinsShortChunks() {
        receive(CHUNKED + "1\r\nx\r\n".repeat(1_000) + "2000\r\n" + "y".repeat(8_192) + "\r\n0\r\n\r\n");

        assertTrue(channel.readInbound() instanceof HttpRequest);
        assertEquals("x".repeat(1_000), nextContent());
        assertEquals("y".repeat(8_192), nextContent());
        assertTrue(channel.readInbound() instanceof LastHttpContent);
    }

    /** Guards against objects for all that was read ahead while the connection waits for memory. */
    @Test
    void decodesNothingUntilMessagesAreTaken() throws Exception {
        receive(CHUNKED);
        assertTrue(channel.readInbound() instanceof HttpRequest);
        takesMessages = false;
        receive("1\r\nx\r\n".repeat(10));
        assertNull(channel.readInbound());
        takesMessages = true;
        decoder.resume();

        assertEquals("x".repeat(10), nextContent());
        assertEquals(0, undecodedBytes);
    }

    @Test
    void keepsNoTrailers() {
        receive(CHUNKED + "0\r\n" + "t: 1\r\n".repeat(100) + "\r\n");

        assertTrue(channel.readInbound() instanceof HttpRequest);
        LastHttpContent last = channel.readInbound();
        assertTrue(last.trailingHeaders().isEmpty());
        assertFalse(last.decoderResult().isFailure());
    }
}
