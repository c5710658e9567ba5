package baobabcroft.peer;

import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import baobabcroft.peer.PeerAuthenticator.Side;
import baobabcroft.peer.PeerAuthenticator.Transcript;
import baobabcroft.peer.proto.Challenge;
import baobabcroft.peer.proto.Envelope;
import baobabcroft.peer.proto.Welcome;
import com.google.protobuf.ByteString;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Handshake of the listening side; gives way to an {@link InboundSession}. Used by one event loop. */
@SuppressWarnings("FutureReturnValueIgnored") // failed writes and closes end the channel, which is handled
final class ListenerHandshake extends SimpleChannelInboundHandler<Envelope> {
    private static final EventLog LOG = EventLog.of(ListenerHandshake.class);

    private final PeerAuthenticator authenticator;
    private final PeerSettings settings;
    private final PeerHandlers handlers;
    private final String self;
    private Optional<Transcript> transcript = Optional.empty();

    ListenerHandshake(PeerAuthenticator authenticator, PeerSettings settings, PeerHandlers handlers, String self) {
        this.authenticator = authenticator;
        this.settings = settings;
        this.handlers = handlers;
        this.self = self;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        context.executor()
                .schedule(() -> closeIfPending(context), settings.handshakeTimeoutMillis(), TimeUnit.MILLISECONDS);
    }

    private static void closeIfPending(ChannelHandlerContext context) {
        if (!context.isRemoved()) {
            context.close();
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Envelope envelope) {
        if (envelope.getProtocolVersion() != PeerCodec.PROTOCOL_VERSION) {
            LOG.log(LogEvent.PEER_REJECTED, envelope.getSender(), "protocol version " + envelope.getProtocolVersion());
            Envelope refusal = PeerCodec.envelope(self)
                    .setChallenge(Challenge.getDefaultInstance())
                    .build();
            context.writeAndFlush(refusal).addListener(ChannelFutureListener.CLOSE);
            return;
        }
        if (envelope.hasHello() && transcript.isEmpty()) {
            challenge(context, envelope);
            return;
        }
        if (envelope.hasProof() && transcript.isPresent()) {
            check(context, envelope.getProof().getProof(), transcript.get());
            return;
        }
        context.close();
    }

    private void challenge(ChannelHandlerContext context, Envelope envelope) {
        ByteString nonce = authenticator.nonce();
        Transcript said =
                new Transcript(envelope.getSender(), envelope.getHello().getNonce(), self, nonce);
        transcript = Optional.of(said);
        Challenge challenge = Challenge.newBuilder()
                .setNonce(nonce)
                .setProof(authenticator.proof(Side.LISTENER, said))
                .build();
        context.writeAndFlush(PeerCodec.envelope(self).setChallenge(challenge).build());
    }

    private void check(ChannelHandlerContext context, ByteString proof, Transcript said) {
        if (!authenticator.verify(Side.OPENER, said, proof)) {
            LOG.log(LogEvent.PEER_REJECTED, said.opener(), "does not know the shared key");
            context.close();
            return;
        }
        Envelope welcome = PeerCodec.envelope(self)
                .setWelcome(Welcome.getDefaultInstance())
                .build();
        context.writeAndFlush(welcome);
        InboundSession session = new InboundSession(handlers, settings, self, said.opener());
        PeerCodec.authenticated(context.pipeline(), settings, this, session);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOG.logFailure(LogEvent.PEER_CONNECTION_FAILED, cause, "unknown");
        context.close();
    }
}
