package baobabcroft.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.memory.MemoryBudget;
import baobabcroft.memory.MemoryReservation;
import baobabcroft.memory.MemoryUse;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class IncomingBodyTest {
    private static final int CAPACITY_BYTES = 1 << 20;
    private static final int PART_BYTES = 100_000;
    private static final HttpRequest CHUNKED = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/");

    private final MemoryBudget budget = MemoryBudget.create(CAPACITY_BYTES);
    private final MemoryReservation others = budget.reserve(MemoryUse.CONNECTION);
    private final IncomingBody body = new IncomingBody(budget.reserve(MemoryUse.REQUEST_BODY));
    private final AtomicInteger grants = new AtomicInteger();

    IncomingBodyTest() {
        body.start(CHUNKED, () -> {});
    }

    private MemoryReservation.Outcome add(HttpContent part) {
        return body.add(part, grants::incrementAndGet);
    }

    private static HttpContent last(int bytes) {
        return new DefaultLastHttpContent(Unpooled.wrappedBuffer(new byte[bytes]));
    }

    /** Guards against memory exhaustion by parts that are stored before their memory is reserved. */
    @Test
    void storesNothingWhileItWaits() {
        others.resize(CAPACITY_BYTES);

        assertEquals(MemoryReservation.Outcome.WAITING, add(last(PART_BYTES)));
        assertEquals(0, body.size());
        assertEquals(0, body.heldBytes());
        assertFalse(body.isComplete());
    }

    @Test
    void takesThePartAgainOnceItsMemoryIsReserved() {
        others.resize(CAPACITY_BYTES);
        HttpContent part = last(PART_BYTES);
        add(part);
        others.release();

        assertEquals(1, grants.get());
        assertEquals(MemoryReservation.Outcome.GRANTED, add(part));
        assertTrue(body.isComplete());
        assertEquals(PART_BYTES, body.take().length);
    }

    @Test
    void storesNothingThatIsRefused() {
        HttpContent part = new DefaultHttpContent(Unpooled.wrappedBuffer(new byte[CAPACITY_BYTES]));

        assertEquals(MemoryReservation.Outcome.REFUSED, add(part));
        assertEquals(0, body.size());
    }
}
