package baobabcroft.front;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.memory.MemoryReservation;
import baobabcroft.relay.CallerExchange;
import baobabcroft.relay.Headers;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;

/** Writes the response to one request of a caller. */
@SuppressWarnings("FutureReturnValueIgnored") // A failed write closes the channel; the close is handled.
final class ResponseWriter implements CallerExchange {
    /** Unsent bytes of a stream above which the connection is closed, because the caller does not keep up. */
    private static final long MAX_UNSENT_BYTES = 4 << 20;

    private final ChannelHandlerContext context;
    private final MemoryReservation unsentMemory;
    private final BooleanSupplier draining;
    private final boolean keepAlive;
    private final boolean chunked;
    private final BiConsumer<ChannelFuture, Boolean> onEnded;
    private final Runnable onAborted;

    /**
     * Creates a writer.
     *
     * @param context context of the connection's handler
     * @param unsentMemory memory of what the caller has not taken
     * @param draining whether responses close their connection
     * @param keepAlive whether the caller wants the connection to stay open
     * @param chunked whether the caller understands chunks
     * @param onEnded called with the last write and whether the connection stays open
     * @param onAborted called when the response is broken off, to close the connection
     */
    ResponseWriter(
            ChannelHandlerContext context,
            MemoryReservation unsentMemory,
            BooleanSupplier draining,
            boolean keepAlive,
            boolean chunked,
            BiConsumer<ChannelFuture, Boolean> onEnded,
            Runnable onAborted) {
        this.context = checkNotNull(context);
        this.unsentMemory = checkNotNull(unsentMemory);
        this.draining = checkNotNull(draining);
        this.keepAlive = keepAlive;
        this.chunked = chunked;
        this.onEnded = checkNotNull(onEnded);
        this.onAborted = checkNotNull(onAborted);
    }

    /** Counts response data that is about to be written; returns false if the caller must keep up or be cut off. */
    private boolean reserveUnsent(int bytes) {
        return unsentMemory.resize(unsentMemory.heldBytes() + bytes);
    }

    private void releaseUnsent(ChannelFuture written, int bytes) {
        written.addListener(unused -> unsentMemory.resize(unsentMemory.heldBytes() - bytes));
    }

    private boolean keepsConnectionOpen() {
        return keepAlive && !draining.getAsBoolean();
    }

    @Override
    public void answer(int status, Headers headers, byte[] content) {
        boolean keepOpen = keepsConnectionOpen();
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(content));
        NettyHeaders.addTo(response.headers(), headers);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.length);
        setConnection(response, keepOpen);
        reserveUnsent(content.length);
        ChannelFuture written = context.writeAndFlush(response);
        releaseUnsent(written, content.length);
        onEnded.accept(written, keepOpen);
    }

    private void setConnection(HttpResponse response, boolean keepOpen) {
        if (!keepOpen) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    @Override
    public void startStream(int status, Headers headers) {
        DefaultHttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        NettyHeaders.addTo(response.headers(), headers);
        if (chunked) {
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        setConnection(response, chunked && keepsConnectionOpen());
        context.write(response);
    }

    @Override
    public void streamData(byte[] data) {
        if (context.channel().bytesBeforeWritable() > MAX_UNSENT_BYTES) {
            abort();
            return;
        }
        boolean fits = reserveUnsent(data.length);
        releaseUnsent(context.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(data))), data.length);
        if (!fits) {
            abort();
        }
    }

    @Override
    public void endStream() {
        onEnded.accept(context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT), chunked && keepsConnectionOpen());
    }

    @Override
    public void abort() {
        onAborted.run();
    }
}
