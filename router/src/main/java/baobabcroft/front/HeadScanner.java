package baobabcroft.front;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpConstants;

/**
 * Searches received bytes for the end of a message's head, so that a head is parsed as a whole, and only if that takes
 * time in proportion to its length: the parser joins the lines of a folded header one by one, copying what it has
 * joined so far. Not thread-safe.
 */
final class HeadScanner {
    private static final int LINE_END_BYTES = 2;

    /** Bytes of the head that were searched for its end. */
    private int searchedBytes;

    private int lines;
    private int firstLineBytes;

    /** What the bytes that were received so far are. */
    enum Result {
        /** The beginning of a head. */
        INCOMPLETE,
        /** A complete head, and what follows it. */
        COMPLETE,
        /** A head with a line that begins with white space, which HTTP/1.1 allows to refuse. */
        FOLDED
    }

    /** Starts with the next head. */
    void reset() {
        searchedBytes = 0;
        lines = 0;
        firstLineBytes = 0;
    }

    /** Searches the bytes that were added since the last call; skips white space before the head. */
    Result scan(ByteBuf buffer) {
        if (searchedBytes == 0) {
            skipBlanks(buffer);
        }
        int start = buffer.readerIndex();
        while (true) {
            int from = start + searchedBytes;
            if (lines > 0 && from < buffer.writerIndex() && isLineSpace(buffer.getByte(from))) {
                return Result.FOLDED;
            }
            int lineFeed = buffer.indexOf(from, buffer.writerIndex(), HttpConstants.LF);
            if (lineFeed < 0) {
                return Result.INCOMPLETE;
            }
            searchedBytes = lineFeed + 1 - start;
            int lineBytes = lineFeed - from;
            if (lines > 0 && (lineBytes == 0 || (lineBytes == 1 && buffer.getByte(from) == HttpConstants.CR))) {
                return Result.COMPLETE;
            }
            lines++;
            firstLineBytes = lines == 1 ? searchedBytes : firstLineBytes;
        }
    }

    /** Returns the length of the headers received so far, without the ends of their lines. */
    int headerBytes(ByteBuf buffer) {
        return buffer.readableBytes() - firstLineBytes - LINE_END_BYTES * lines;
    }

    private static void skipBlanks(ByteBuf buffer) {
        while (buffer.isReadable() && isBlank(buffer.getByte(buffer.readerIndex()))) {
            buffer.skipBytes(1);
        }
    }

    private static boolean isBlank(byte value) {
        return Character.isISOControl(value & 0xff) || Character.isWhitespace(value & 0xff);
    }

    private static boolean isLineSpace(byte value) {
        return value == HttpConstants.SP || value == HttpConstants.HT;
    }
}
