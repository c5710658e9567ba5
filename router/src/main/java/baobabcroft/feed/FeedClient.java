package baobabcroft.feed;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.feed.proto.FeedMessage;
import baobabcroft.feed.proto.FeedRequest;
import baobabcroft.front.NettyChannels;
import baobabcroft.replica.FeedTransport;
import baobabcroft.replica.StoreRevision;
import com.google.common.net.HostAndPort;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;

/** Connects to the feeds of other instances. Not thread-safe: used on its event loop only. */
@SuppressWarnings("FutureReturnValueIgnored") // A failed write or connect closes the channel; the close is handled.
public final class FeedClient implements FeedTransport {
    private static final int CONNECT_TIMEOUT_MILLIS = 600;

    private final EventLoop loop;
    private final String instance;

    /**
     * Creates a client without connections.
     *
     * @param loop event loop of all connections
     * @param instance name of this instance
     */
    public FeedClient(EventLoop loop, String instance) {
        this.loop = checkNotNull(loop);
        this.instance = checkNotNull(instance);
    }

    @Override
    public Link connect(HostAndPort address, StoreRevision position, Observer observer) {
        Connection connection = new Connection(position, observer);
        ChannelFuture connectFuture = NettyChannels.client(
                        loop,
                        CONNECT_TIMEOUT_MILLIS,
                        () -> FeedCodec.handlers(FeedMessage.getDefaultInstance(), connection))
                .connect(address.getHost(), address.getPort());
        connectFuture.addListener(done -> {
            if (!done.isSuccess()) {
                connection.close(String.valueOf(done.cause()));
            }
        });
        return new Link() {
            @Override
            public void request(StoreRevision newPosition) {
                connectFuture.channel().writeAndFlush(requestFrom(newPosition));
            }

            @Override
            public void close() {
                connection.closed = true;
                connectFuture.channel().close();
            }
        };
    }

    private FeedRequest requestFrom(StoreRevision position) {
        return FeedRequest.newBuilder()
                .setInstance(instance)
                .setEra(position.era())
                .setRevision(position.number())
                .build();
    }

    private final class Connection extends SimpleChannelInboundHandler<FeedMessage> {
        private final StoreRevision position;
        private final Observer observer;
        private boolean closed;

        private Connection(StoreRevision position, Observer observer) {
            this.position = position;
            this.observer = observer;
        }

        private void close(String reason) {
            if (!closed) {
                closed = true;
                observer.onClosed(reason);
            }
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            context.writeAndFlush(requestFrom(position));
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FeedMessage message) {
            if (!closed) {
                observer.onUpdate(FeedCodec.toUpdate(message));
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            close("connection closed");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            close(String.valueOf(cause));
            context.close();
        }
    }
}
