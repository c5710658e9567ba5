package baobabcroft.memory;

import static com.google.common.base.Preconditions.checkArgument;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Collects the bytes of one body. A body of known length is held once, in an array of its length; another one is
 * held in blocks, which are copied once at the end. Not thread-safe.
 */
public final class BodyBuffer {
    private static final int MIN_BLOCK_BYTES = 4 << 10;
    private static final int MAX_BLOCK_BYTES = 256 << 10;

    private final List<byte[]> fullBlocks = new ArrayList<>();
    private final int expectedBytes;
    private byte[] block = {};
    private int blockUsed;
    private int fullBytes;

    private BodyBuffer(int expectedBytes) {
        this.expectedBytes = expectedBytes;
    }

    /**
     * Returns an empty buffer for a body of unknown length.
     *
     * @return the buffer
     */
    public static BodyBuffer ofUnknownLength() {
        return new BodyBuffer(0);
    }

    /**
     * Returns an empty buffer, which allocates memory once the first bytes arrive.
     *
     * @param bytes length of the body, in bytes; not negative
     * @return the buffer
     */
    public static BodyBuffer ofLength(int bytes) {
        checkArgument(bytes >= 0, "bytes negative: %s", bytes);
        return new BodyBuffer(bytes);
    }

    /**
     * Returns the number of bytes that were added.
     *
     * @return the length, in bytes
     */
    public int size() {
        return fullBytes + blockUsed;
    }

    /**
     * Returns the memory that the buffer takes up, which may be more than was added.
     *
     * @return the bytes
     */
    public long heldBytes() {
        return (long) fullBytes + block.length;
    }

    /**
     * Returns the memory that the buffer would take up if bytes were added.
     *
     * @param addedBytes number of bytes; not negative
     * @return the bytes, at least {@link #heldBytes()}
     */
    public long heldBytesAfter(int addedBytes) {
        checkArgument(addedBytes >= 0, "addedBytes negative: %s", addedBytes);
        int unstoredBytes = addedBytes - (block.length - blockUsed);
        if (unstoredBytes <= 0) {
            return heldBytes();
        }
        int storedBytes = fullBytes + block.length;
        int nextBlockBytes = blockBytes(storedBytes, unstoredBytes);
        int furtherBytes = unstoredBytes - nextBlockBytes;
        long heldBytes = (long) storedBytes + nextBlockBytes;
        return furtherBytes <= 0 ? heldBytes : heldBytes + blockBytes(storedBytes + nextBlockBytes, furtherBytes);
    }

    /**
     * Adds bytes.
     *
     * @param source the bytes, all of which are read
     */
    public void add(ByteBuffer source) {
        while (source.hasRemaining()) {
            if (blockUsed == block.length) {
                startBlock(source.remaining());
            }
            int length = Math.min(source.remaining(), block.length - blockUsed);
            source.get(block, blockUsed, length);
            blockUsed += length;
        }
    }

    private void startBlock(int addedBytes) {
        if (blockUsed > 0) {
            fullBlocks.add(block);
        }
        fullBytes += blockUsed;
        block = new byte[blockBytes(fullBytes, addedBytes)];
        blockUsed = 0;
    }

    /** Returns the length of the block that follows full ones. The first may be too short if a length is expected. */
    private int blockBytes(int storedBytes, int addedBytes) {
        if (storedBytes == 0 && expectedBytes > 0) {
            return expectedBytes;
        }
        return Math.max(addedBytes, Math.min(MAX_BLOCK_BYTES, Math.max(storedBytes, MIN_BLOCK_BYTES)));
    }

    /**
     * Returns the body and empties the buffer.
     *
     * @return the bytes that were added
     */
    public byte[] take() {
        boolean whole = fullBlocks.isEmpty() && blockUsed == block.length;
        byte[] body = whole ? block : joined();
        fullBlocks.clear();
        block = new byte[0];
        blockUsed = 0;
        fullBytes = 0;
        return body;
    }

    private byte[] joined() {
        ByteBuffer target = ByteBuffer.allocate(size());
        fullBlocks.forEach(target::put);
        target.put(block, 0, blockUsed);
        return target.array();
    }
}
