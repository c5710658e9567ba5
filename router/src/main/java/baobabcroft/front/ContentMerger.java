package baobabcroft.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import java.util.Optional;

/**
 * Joins short parts of a body that were received together, so that the work and the memory for a body depend on its
 * bytes and not on the number of its chunks. Not thread-safe.
 */
final class ContentMerger {
    /** Length from which a part is passed on as it is: one copy costs less than a message for each part below it. */
    private static final int MIN_OWN_MESSAGE_BYTES = 1_024;

    private Optional<ByteBuf> joined = Optional.empty();

    /**
     * Takes decoded messages, and adds those to {@code out} that cannot be joined with what follows.
     *
     * @param allocator allocator of joined parts
     * @param parts decoded messages; cleared
     * @param furtherBytes received bytes that are not decoded yet, at most as many as further parts have together
     * @param out receives messages
     * @return whether only parts of a body were decoded, so that more may follow
     */
    boolean merge(ByteBufAllocator allocator, List<Object> parts, int furtherBytes, List<Object> out) {
        boolean bodyOnly = true;
        for (Object part : parts) {
            boolean inBody = part instanceof HttpContent content
                    && !(part instanceof LastHttpContent)
                    && content.decoderResult().isSuccess();
            if (inBody && ((HttpContent) part).content().readableBytes() < MIN_OWN_MESSAGE_BYTES) {
                add(allocator, (HttpContent) part, furtherBytes);
            } else {
                flush(out);
                out.add(part);
            }
            bodyOnly &= inBody;
        }
        parts.clear();
        return bodyOnly;
    }

    private void add(ByteBufAllocator allocator, HttpContent part, int furtherBytes) {
        ByteBuf bytes = part.content();
        if (joined.isEmpty()) {
            joined = Optional.of(allocator.heapBuffer(bytes.readableBytes() + furtherBytes / 2));
        }
        joined.get().writeBytes(bytes);
        part.release();
    }

    /** Adds the parts that were joined so far to {@code out}, as one message. */
    void flush(List<Object> out) {
        joined.ifPresent(bytes -> out.add(new DefaultHttpContent(bytes)));
        joined = Optional.empty();
    }
}
