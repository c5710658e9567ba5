package baobabcroft.front;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.util.function.BooleanSupplier;
import java.util.function.IntConsumer;

/** Drops bytes that a server sends while no response is awaited, before a decoder holds them back. */
final class UnexpectedBytesFilter extends ChannelInboundHandlerAdapter {
    private final BooleanSupplier awaitsResponse;
    private final IntConsumer onUnexpectedBytes;

    /**
     * Creates a filter.
     *
     * @param awaitsResponse returns whether a response is awaited
     * @param onUnexpectedBytes called with the number of dropped bytes; closes the connection
     */
    UnexpectedBytesFilter(BooleanSupplier awaitsResponse, IntConsumer onUnexpectedBytes) {
        this.awaitsResponse = checkNotNull(awaitsResponse);
        this.onUnexpectedBytes = checkNotNull(onUnexpectedBytes);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (awaitsResponse.getAsBoolean()) {
            context.fireChannelRead(message);
            return;
        }
        int bytes = ((ByteBuf) message).readableBytes();
        ReferenceCountUtil.release(message);
        onUnexpectedBytes.accept(bytes);
    }
}
