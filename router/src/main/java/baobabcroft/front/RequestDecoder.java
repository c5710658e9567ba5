package baobabcroft.front;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntSupplier;

/**
 * Decodes callers' requests and rejects ambiguous framing, which would allow request smuggling.
 *
 * <p>A header line takes many times its length once it is decoded, so a head is kept as received until it is complete.
 * Chunks that were received together become one message. Nothing is decoded while the connection takes no messages. The
 * limit on the length of a head may change while a connection is open: the current one applies to each request.
 */
final class RequestDecoder extends ByteToMessageDecoder {
    private final Intake intake;
    private final IntSupplier maxHeaderBytes;
    private final HeadScanner headScanner = new HeadScanner();
    private final ContentMerger merger = new ContentMerger();
    private ChannelHandlerContext context;
    private RequestParser parser;
    private boolean decoding;
    private boolean inBody;
    private boolean failed;
    private int heldBytes;

    /** What the connection does with decoded and undecoded bytes. */
    interface Intake {
        /** Takes messages at all times, for connections that are limited otherwise. */
        Intake ALWAYS = new Intake() {
            @Override
            public boolean takesMessages() {
                return true;
            }

            @Override
            public void onUndecoded(int bytes) {
                // Limited by the length of a head and the number of connections.
            }
        };

        /** Returns whether the connection takes messages now. */
        boolean takesMessages();

        /**
         * Called when the memory that undecoded bytes take has changed.
         *
         * @param bytes the memory, in bytes
         */
        void onUndecoded(int bytes);
    }

    /**
     * Creates a decoder.
     *
     * @param maxHeaderBytes current limit on the length of a request line, and of all headers of a request, in bytes
     * @param intake what the connection does with the bytes
     */
    RequestDecoder(IntSupplier maxHeaderBytes, Intake intake) {
        this.maxHeaderBytes = checkNotNull(maxHeaderBytes);
        this.intake = checkNotNull(intake);
        this.parser = new RequestParser(maxHeaderBytes.getAsInt());
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext removed) throws Exception {
        parser.handlerRemoved0(removed);
    }

    /** Drops what has been received of an incomplete message, and all that follows. */
    void skipAll() {
        failed = true;
    }

    /** Decodes what was received while the connection took no messages. */
    void resume() throws Exception {
        if (!decoding && actualReadableBytes() > 0) {
            channelRead(context, Unpooled.EMPTY_BUFFER);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext channel, Object message) throws Exception {
        decoding = true;
        try {
            super.channelRead(channel, message);
        } finally {
            decoding = false;
            reportUndecoded();
        }
    }

    private void reportUndecoded() {
        int bytes = actualReadableBytes() == 0 ? 0 : internalBuffer().capacity();
        if (bytes != heldBytes) {
            heldBytes = bytes;
            intake.onUndecoded(bytes);
        }
    }

    /** The superclass reads on, though reading is paused, if a read has not led to a message. */
    @Override
    public void channelReadComplete(ChannelHandlerContext channel) throws Exception {
        if (channel.channel().config().isAutoRead()) {
            super.channelReadComplete(channel);
        } else {
            channel.fireChannelReadComplete();
        }
    }

    @Override
    protected void decode(ChannelHandlerContext channel, ByteBuf buffer, List<Object> out) throws Exception {
        if (!intake.takesMessages()) {
            return;
        }
        if (failed) {
            buffer.skipBytes(buffer.readableBytes());
            return;
        }
        if (!inBody && !hasHead(buffer, out)) {
            return;
        }
        int decoded = out.size();
        decodeMessages(channel, buffer, out);
        for (Object message : out.subList(decoded, out.size())) {
            failed |= ((HttpObject) message).decoderResult().isFailure();
            inBody |= message instanceof HttpRequest;
            inBody &= !(message instanceof LastHttpContent);
        }
        if (!inBody) {
            headScanner.reset();
        }
    }

    private void decodeMessages(ChannelHandlerContext channel, ByteBuf buffer, List<Object> out) throws Exception {
        if (!inBody) {
            applyLimit(channel);
            parser.decode(channel, buffer, out);
            return;
        }
        List<Object> parts = new ArrayList<>();
        int before;
        try {
            do {
                before = buffer.readerIndex();
                parser.decode(channel, buffer, parts);
            } while (merger.merge(channel.alloc(), parts, buffer.readableBytes(), out)
                    && buffer.isReadable()
                    && buffer.readerIndex() > before);
        } finally {
            merger.flush(out);
        }
    }

    /** Replaces the parser between two requests if the limit has changed, as a parser keeps the one it began with. */
    private void applyLimit(ChannelHandlerContext channel) throws Exception {
        if (parser.maxHeaderBytes != maxHeaderBytes.getAsInt()) {
            parser.handlerRemoved0(channel);
            parser = new RequestParser(maxHeaderBytes.getAsInt());
        }
    }

    /** Returns whether the buffer holds a complete head; adds a failure if the head cannot be parsed. */
    private boolean hasHead(ByteBuf buffer, List<Object> out) {
        HeadScanner.Result result = headScanner.scan(buffer);
        if (result == HeadScanner.Result.FOLDED) {
            fail(new IllegalArgumentException("folded header line"), buffer, out);
        } else if (result == HeadScanner.Result.INCOMPLETE
                && headScanner.headerBytes(buffer) > maxHeaderBytes.getAsInt()) {
            fail(
                    new TooLongHttpHeaderException("head without end of more than " + maxHeaderBytes.getAsInt()),
                    buffer,
                    out);
        }
        return result == HeadScanner.Result.COMPLETE;
    }

    private void fail(Exception cause, ByteBuf buffer, List<Object> out) {
        failed = true;
        buffer.skipBytes(buffer.readableBytes());
        HttpMessage message = parser.createInvalidMessage();
        message.setDecoderResult(DecoderResult.failure(cause));
        out.add(message);
    }

    /** Parses requests within fixed limits. */
    private static final class RequestParser extends HttpRequestDecoder {
        private final int maxHeaderBytes;

        RequestParser(int maxHeaderBytes) {
            super(new HttpDecoderConfig()
                    .setMaxInitialLineLength(maxHeaderBytes)
                    .setMaxHeaderSize(maxHeaderBytes)
                    .setTrailersFactory(UnreadTrailers.FACTORY));
            this.maxHeaderBytes = maxHeaderBytes;
        }

        @Override
        protected void decode(ChannelHandlerContext channel, ByteBuf buffer, List<Object> out) throws Exception {
            super.decode(channel, buffer, out);
        }

        @Override
        protected void handlerRemoved0(ChannelHandlerContext removed) throws Exception {
            super.handlerRemoved0(removed);
        }

        @Override
        protected HttpMessage createInvalidMessage() {
            return super.createInvalidMessage();
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new IllegalArgumentException("both Transfer-Encoding and Content-Length");
        }
    }
}
