package baobabcroft.memory;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Random;
import org.junit.jupiter.api.Test;

class BodyBufferTest {
    private static byte[] bytes(int count) {
        byte[] bytes = new byte[count];
        new Random(3).nextBytes(bytes);
        return bytes;
    }

    private static void addInParts(BodyBuffer buffer, byte[] body, int partBytes) {
        for (int start = 0; start < body.length; start += partBytes) {
            int length = Math.min(partBytes, body.length - start);
            long foretoldBytes = buffer.heldBytesAfter(length);
            buffer.add(ByteBuffer.wrap(body, start, length));
            assertEquals(foretoldBytes, buffer.heldBytes(), "bytes held after a part");
        }
    }

    /** Guards against bodies that are held twice while they are received. */
    @Test
    void holdsABodyOfKnownLengthOnce() {
        byte[] body = bytes(1_000_000);
        BodyBuffer buffer = BodyBuffer.ofLength(body.length);
        addInParts(buffer, body, 8_192);

        assertEquals(body.length, buffer.heldBytes());
        assertArrayEquals(body, buffer.take());
        assertEquals(0, buffer.heldBytes());
    }

    @Test
    void keepsBodiesOfUnknownLengthInOrder() {
        for (int partBytes : new int[] {1, 100, 5_000, 70_000, 300_000}) {
            byte[] body = bytes(300_000);
            BodyBuffer buffer = BodyBuffer.ofUnknownLength();
            addInParts(buffer, body, partBytes);

            assertTrue(buffer.heldBytes() <= 2L * body.length, buffer.heldBytes() + " bytes held");
            assertArrayEquals(body, buffer.take());
        }
    }

    @Test
    void holdsNothingBeforeTheFirstBytes() {
        assertEquals(0, BodyBuffer.ofLength(1_000_000).heldBytes());
    }

    @Test
    void takesABodyThatDiffersFromItsStatedLength() {
        byte[] body = bytes(10_000);
        BodyBuffer shorter = BodyBuffer.ofLength(20_000);
        BodyBuffer longer = BodyBuffer.ofLength(100);
        addInParts(shorter, body, 3_000);
        addInParts(longer, body, 3_000);

        assertArrayEquals(body, shorter.take());
        assertArrayEquals(body, longer.take());
        assertTrue(Arrays.equals(new byte[0], longer.take()));
    }
}
