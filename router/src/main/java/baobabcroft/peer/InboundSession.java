package baobabcroft.peer;

import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import baobabcroft.peer.proto.Envelope;
import baobabcroft.peer.proto.PeerReply;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;

/** Answers the requests of one authenticated peer. Used by one event loop. */
@SuppressWarnings("FutureReturnValueIgnored") // failed writes and closes end the channel, which is handled
final class InboundSession extends SimpleChannelInboundHandler<Envelope> {
    private static final EventLog LOG = EventLog.of(InboundSession.class);

    private final PeerHandlers handlers;
    private final PeerSettings settings;
    private final String self;
    private final String peer;
    private int inWork;

    InboundSession(PeerHandlers handlers, PeerSettings settings, String self, String peer) {
        this.handlers = handlers;
        this.settings = settings;
        this.self = self;
        this.peer = peer;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Envelope envelope) {
        if (!envelope.hasRequest()) {
            context.close();
            return;
        }
        long correlationId = envelope.getCorrelationId();
        if (inWork >= settings.maxOutstanding()) {
            write(context, correlationId, PeerHandlers.refused("too many requests in work"));
            return;
        }
        inWork++;
        handlers.dispatch(peer, envelope.getRequest())
                .thenAcceptAsync(reply -> finish(context, correlationId, reply), context.executor());
    }

    private void finish(ChannelHandlerContext context, long correlationId, PeerReply reply) {
        inWork--;
        write(context, correlationId, reply);
    }

    private void write(ChannelHandlerContext context, long correlationId, PeerReply reply) {
        if (!context.channel().isWritable()) {
            LOG.log(LogEvent.PEER_REJECTED, peer, "does not read its answers");
            context.close();
            return;
        }
        Envelope envelope = PeerCodec.envelope(self)
                .setCorrelationId(correlationId)
                .setReply(reply)
                .build();
        context.writeAndFlush(envelope);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent) {
            context.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOG.logFailure(LogEvent.PEER_CONNECTION_FAILED, cause, peer);
        context.close();
    }
}
