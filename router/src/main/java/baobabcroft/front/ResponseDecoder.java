package baobabcroft.front;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableSet;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Decodes responses strictly, with limits on the length of their heads.
 *
 * <p>A response whose head breaks off on a connection that stays open is joined with the head of the next one. The
 * second status line then is part of the first one's reason phrase or of a header, so a head that contains one is
 * malformed.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_HEADER_BYTES = 65_536;
    /**
     * Covers a status line and headers of the greatest length; bytes before a status line have no limit of their own.
     */
    private static final int MAX_UNDECODED_BYTES = 4 * MAX_HEADER_BYTES;

    private static final ImmutableSet<String> VERSIONS = ImmutableSet.of("HTTP/1.0", "HTTP/1.1");
    private static final String SWITCHING_PROTOCOLS = "101";
    /** Others are not statuses, and a decoder may take them for another one: 0200 for 200, 99 for an informational. */
    private static final Pattern STATUS = Pattern.compile("[1-5][0-9]{2}");

    private static final String PROTOCOL = "HTTP/";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/[0-9]\\.[0-9] +[0-9]{3}");

    private final ContentMerger merger = new ContentMerger();
    private int undecodedBytes;

    ResponseDecoder() {
        super(new HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES).setMaxInitialLineLength(MAX_HEADER_BYTES));
    }

    /** Returns the number of received bytes that have not been decoded yet. */
    int pendingBytes() {
        return actualReadableBytes();
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        checkArgument(VERSIONS.contains(initialLine[0]), "not a supported HTTP version: %s", initialLine[0]);
        checkArgument(STATUS.matcher(initialLine[1]).matches(), "not a status: %s", initialLine[1]);
        checkArgument(!initialLine[1].equals(SWITCHING_PROTOCOLS), "protocol switched without a request to");
        checkArgument(!containsStatusLine(initialLine[2]), "status line in a reason phrase: %s", initialLine[2]);
        return super.createMessage(initialLine);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        List<Object> decoded = new ArrayList<>();
        int readable;
        try {
            do {
                readable = buffer.readableBytes();
                super.decode(context, buffer, decoded);
                countUndecoded(decoded, readable - buffer.readableBytes());
            } while (merger.merge(context.alloc(), decoded, buffer.readableBytes(), out)
                    && buffer.isReadable()
                    && buffer.readableBytes() < readable);
        } finally {
            merger.flush(out);
        }
    }

    private void countUndecoded(List<Object> decoded, int consumedBytes) {
        undecodedBytes = decoded.isEmpty() ? undecodedBytes + consumedBytes : 0;
        if (undecodedBytes > MAX_UNDECODED_BYTES) {
            throw new TooLongFrameException("no response in " + undecodedBytes + " bytes");
        }
        for (Object message : decoded) {
            if (message instanceof HttpResponse response) {
                rejectJoinedHeads(response);
            }
        }
    }

    private static void rejectJoinedHeads(HttpResponse response) {
        for (Map.Entry<String, String> header : response.headers()) {
            if (containsStatusLine(header.getValue())) {
                response.setDecoderResult(DecoderResult.failure(
                        new IllegalArgumentException("status line in header " + header.getKey())));
                return;
            }
        }
    }

    private static boolean containsStatusLine(String text) {
        return text.contains(PROTOCOL) && STATUS_LINE.matcher(text).find();
    }
}
