package baobabcroft.feed;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.feed.proto.FeedRequest;
import baobabcroft.front.NettyChannels;
import baobabcroft.replica.FeedUpdate;
import baobabcroft.replica.ReplicaFeed;
import baobabcroft.replica.StoreRevision;
import com.google.common.net.HostAndPort;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;

/** Accepts the connections of followers. Not thread-safe: used on its event loop only. */
@SuppressWarnings("FutureReturnValueIgnored") // A failed write closes the channel; the close is handled.
public final class FeedServer {
    private FeedServer() {}

    /**
     * Binds an address and serves a feed to the instances that connect.
     *
     * @param loop event loop of all connections
     * @param address address to listen on
     * @param feed the feed, used on the event loop
     */
    public static void start(EventLoopGroup loop, HostAndPort address, ReplicaFeed feed) {
        checkNotNull(feed);
        FeedEncoder encoder = new FeedEncoder();
        NettyChannels.server(
                        loop, () -> FeedCodec.handlers(FeedRequest.getDefaultInstance(), new Connection(feed, encoder)))
                .bind(address.getHost(), address.getPort())
                .syncUninterruptibly();
    }

    private static final class Connection extends SimpleChannelInboundHandler<FeedRequest>
            implements ReplicaFeed.Subscriber {
        private final ReplicaFeed feed;
        private final FeedEncoder encoder;
        private ChannelHandlerContext context;

        private Connection(ReplicaFeed feed, FeedEncoder encoder) {
            this.feed = feed;
            this.encoder = encoder;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext added) {
            context = added;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext unused, FeedRequest request) {
            StoreRevision position = new StoreRevision(request.getEra(), request.getRevision());
            if (!feed.request(this, position)) {
                context.close();
            }
        }

        @Override
        public void send(FeedUpdate update) {
            context.writeAndFlush(encoder.encode(update));
        }

        @Override
        public void end(String reason) {
            context.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext unused) {
            feed.unsubscribe(this);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext unused, Throwable cause) {
            context.close();
        }
    }
}
