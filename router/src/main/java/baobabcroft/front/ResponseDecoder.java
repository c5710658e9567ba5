package baobabcroft.front;

import static com.google.common.base.Preconditions.checkArgument;

import baobabcroft.relay.StatusLineScanner;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Iterables;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

/**
 * Decodes responses strictly, with limits on the length of their heads.
 *
 * <p>A response that breaks off on a connection that stays open is joined with the next one. If it breaks off in its
 * head, the second status line is part of the first one's reason phrase or of a header, so a head that contains one is
 * malformed. If it breaks off in its body, the body is filled up with the start of the next response, and the rest of
 * that follows the end: a body that contains a status line, or ends in one, is malformed if bytes follow it.
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

    /** Longest time between two parts of a head that an endpoint sends at once: that of a delayed acknowledgement. */
    private static final long FOLLOWING_BYTES_MILLIS = 50;

    private final HeadScanner headScanner = new HeadScanner();
    private final ContentMerger merger = new ContentMerger();
    private final StatusLineScanner bodyScanner = new StatusLineScanner();
    private boolean inHead = true;
    private boolean failed;
    private int undecodedBytes;
    /** End of a response whose body may be joined with bytes that have not been received yet. */
    private Optional<LastHttpContent> heldEnd = Optional.empty();

    private ScheduledFuture<?> heldEndTimeout;

    ResponseDecoder() {
        super(new HttpDecoderConfig()
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setMaxInitialLineLength(MAX_HEADER_BYTES)
                .setTrailersFactory(UnreadTrailers.FACTORY));
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
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        super.channelRead(context, message);
        if (heldEnd.isPresent() && actualReadableBytes() > 0) {
            passOnHeldEnd(context);
            super.channelRead(context, Unpooled.EMPTY_BUFFER);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        passOnHeldEnd(context);
        super.channelInactive(context);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        if (heldEnd.isPresent()) {
            return;
        }
        if (failed) {
            buffer.skipBytes(buffer.readableBytes());
            return;
        }
        List<Object> decoded = new ArrayList<>();
        int readable;
        try {
            do {
                readable = buffer.readableBytes();
                if (!inHead || hasHead(buffer, decoded)) {
                    super.decode(context, buffer, decoded);
                }
                countUndecoded(
                        decoded, readable - buffer.readableBytes(), decoded.isEmpty() ? buffer.readableBytes() : 0);
                inspect(decoded);
            } while (merger.merge(context.alloc(), decoded, buffer.readableBytes(), out)
                    && buffer.isReadable()
                    && buffer.readableBytes() < readable);
        } finally {
            merger.flush(out);
        }
        checkEnd(context, buffer, out);
    }

    /** Returns whether the buffer holds a complete head; adds a failure if the head cannot be parsed. */
    private boolean hasHead(ByteBuf buffer, List<Object> decoded) {
        HeadScanner.Result result = headScanner.scan(buffer);
        if (result == HeadScanner.Result.FOLDED) {
            buffer.skipBytes(buffer.readableBytes());
            HttpMessage message = createInvalidMessage();
            message.setDecoderResult(DecoderResult.failure(new IllegalArgumentException("folded header line")));
            decoded.add(message);
        }
        return result == HeadScanner.Result.COMPLETE;
    }

    private void countUndecoded(List<Object> decoded, int consumedBytes, int heldBytes) {
        undecodedBytes = decoded.isEmpty() ? undecodedBytes + consumedBytes : 0;
        if (undecodedBytes + heldBytes > MAX_UNDECODED_BYTES) {
            throw new TooLongFrameException("no response in " + (undecodedBytes + heldBytes) + " bytes");
        }
    }

    private void inspect(List<Object> decoded) {
        for (Object message : decoded) {
            if (message instanceof HttpResponse response) {
                rejectJoinedHeads(response);
                bodyScanner.reset();
                inHead = false;
            }
            if (message instanceof HttpContent content) {
                scanBody(content.content());
            }
            if (message instanceof LastHttpContent) {
                headScanner.reset();
                inHead = true;
            }
            failed |= ((HttpObject) message).decoderResult().isFailure();
        }
    }

    private void scanBody(ByteBuf part) {
        int index = part.readerIndex();
        while (index < part.writerIndex() && !bodyScanner.isFound()) {
            if (!bodyScanner.isFoundOrBegun()) {
                index = part.indexOf(index, part.writerIndex(), StatusLineScanner.FIRST_BYTE);
                if (index < 0) {
                    return;
                }
            }
            bodyScanner.scan(part.getByte(index));
            index++;
        }
    }

    /** Fails the end of a response whose body is joined with the next one, or holds it back until that is known. */
    private void checkEnd(ChannelHandlerContext context, ByteBuf following, List<Object> out) {
        if (!bodyScanner.isFoundOrBegun() || !(Iterables.getLast(out, null) instanceof LastHttpContent end)) {
            return;
        }
        out.remove(out.size() - 1);
        if (following.isReadable()) {
            out.add(failedIfJoined(end, following));
        } else {
            heldEnd = Optional.of(end);
            heldEndTimeout = context.executor()
                    .schedule(() -> passOnHeldEnd(context), FOLLOWING_BYTES_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private LastHttpContent failedIfJoined(LastHttpContent end, ByteBuf following) {
        if (!continuesStatusLine(following)) {
            return end;
        }
        end.release();
        LastHttpContent failure = new DefaultLastHttpContent();
        failure.setDecoderResult(DecoderResult.failure(
                new IllegalArgumentException("status line in a body, and bytes that follow the body")));
        return failure;
    }

    private boolean continuesStatusLine(ByteBuf following) {
        for (int i = following.readerIndex(); i < following.writerIndex() && !bodyScanner.isFound(); i++) {
            if (!bodyScanner.advance(following.getByte(i))) {
                return false;
            }
        }
        return true;
    }

    private void passOnHeldEnd(ChannelHandlerContext context) {
        if (heldEnd.isEmpty()) {
            return;
        }
        heldEndTimeout.cancel(false);
        LastHttpContent end = heldEnd.get();
        heldEnd = Optional.empty();
        context.fireChannelRead(actualReadableBytes() > 0 ? failedIfJoined(end, internalBuffer()) : end);
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
