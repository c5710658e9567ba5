package baobabcroft.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.memory.MemoryBudget;
import baobabcroft.relay.CallerExchange;
import baobabcroft.relay.CallerRequest;
import baobabcroft.relay.Headers;
import baobabcroft.relay.RequestInProgress;
import baobabcroft.routing.CallerLimits;
import com.google.common.collect.ImmutableList;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class CallerConnectionTest {
    private static final String REQUEST = "GET /lookup HTTP/1.1\r\nHost: shop.example\r\n\r\n";
    private static final long HEADER_MILLIS = 2_000;
    private static final long IDLE_MILLIS = 5_000;

    private CallerLimits limits = limits(1);
    private final FrontContext front = new FrontContext(
            () -> limits,
            MemoryBudget.create(1 << 20),
            new ConnectionReclaimer(ImmutableList.of(), () -> 0),
            () -> false,
            () -> 0,
            CallerConnectionTest::answer);
    private final EmbeddedChannel channel = new EmbeddedChannel();

    /** Returns limits with a multiple of the shortest times. */
    private static CallerLimits limits(int factor) {
        return new CallerLimits(16_384, 1 << 20, factor * HEADER_MILLIS, factor * IDLE_MILLIS);
    }

    private static RequestInProgress answer(CallerRequest request, CallerExchange caller) {
        caller.answer(200, Headers.EMPTY, new byte[0]);
        return new RequestInProgress() {
            @Override
            public boolean isDone() {
                return true;
            }

            @Override
            public void onCallerDisconnected() {
                // Answered already.
            }
        };
    }

    @BeforeEach
    void connect() {
        channel.freezeTime();
        CallerConnection connection = new CallerConnection(front, closed -> {});
        connection.handlers().forEach(channel.pipeline()::addLast);
        channel.pipeline().fireChannelActive();
    }

    @AfterEach
    void close() {
        channel.finishAndReleaseAll();
    }

    private void receive(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    private void pass(long millis) {
        channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        channel.runPendingTasks();
    }

    private String statusLine() {
        ByteBuf written = channel.readOutbound();
        String text = written.toString(StandardCharsets.US_ASCII);
        ReferenceCountUtil.release(written);
        return text.lines().findFirst().orElse("");
    }

    /** Timeouts of a configuration that is applied while they run. */
    @Nested
    class RaisedTimeouts {
        /** Guards against a close at the former idle timeout, just as a caller sends its next request. */
        @Test
        void keepAnIdleConnectionOpen() {
            receive(REQUEST);
            assertEquals("HTTP/1.1 200 OK", statusLine());
            limits = limits(3);
            pass(IDLE_MILLIS);
            pass(2 * IDLE_MILLIS - 1);
            assertTrue(channel.isOpen());
            pass(1);
            assertFalse(channel.isOpen());
        }

        /** Guards against a refusal of a caller that sends its request within the current time. */
        @Test
        void letARequestBeReceived() {
            receive(REQUEST.substring(0, 10));
            limits = limits(3);
            pass(HEADER_MILLIS);
            pass(2 * HEADER_MILLIS - 1);
            receive(REQUEST.substring(10));

            assertEquals("HTTP/1.1 200 OK", statusLine());
        }
    }

    @Nested
    class UnchangedTimeouts {
        @Test
        void closeAnIdleConnection() {
            pass(IDLE_MILLIS);
            assertFalse(channel.isOpen());
        }

        @Test
        void refuseARequestThatIsNotReceived() {
            receive(REQUEST.substring(0, 10));
            pass(HEADER_MILLIS);

            assertEquals("HTTP/1.1 408 Request Timeout", statusLine());
        }
    }
}
