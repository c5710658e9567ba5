package baobabcroft.peer;

import baobabcroft.peer.PeerAuthenticator.Side;
import baobabcroft.peer.PeerAuthenticator.Transcript;
import baobabcroft.peer.proto.Envelope;
import baobabcroft.peer.proto.Hello;
import baobabcroft.peer.proto.Proof;
import com.google.protobuf.ByteString;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.Optional;
import java.util.function.Consumer;

/** Handshake of the side that opens the connection. Confined to one event loop. */
@SuppressWarnings("FutureReturnValueIgnored") // a failed write or close ends the channel, which is handled
final class OpenerHandshake extends SimpleChannelInboundHandler<Envelope> {
    private final PeerAuthenticator authenticator;
    private final String self;
    private final String peer;
    private final Consumer<Optional<PeerFailure>> onCompleted;
    private final ByteString nonce;
    private boolean proofSent;
    private boolean completed;

    /**
     * Creates a handshake.
     *
     * @param onCompleted called once with the outcome: empty if both sides are authenticated, otherwise the failure
     */
    OpenerHandshake(
            PeerAuthenticator authenticator, String self, String peer, Consumer<Optional<PeerFailure>> onCompleted) {
        this.authenticator = authenticator;
        this.self = self;
        this.peer = peer;
        this.onCompleted = onCompleted;
        this.nonce = authenticator.nonce();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        Hello hello = Hello.newBuilder().setNonce(nonce).build();
        context.writeAndFlush(PeerCodec.envelope(self).setHello(hello).build());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Envelope envelope) {
        if (envelope.getProtocolVersion() != PeerCodec.PROTOCOL_VERSION) {
            fail(context, PeerFailure.UNSUPPORTED_VERSION);
            return;
        }
        if (envelope.hasChallenge() && !proofSent) {
            answerChallenge(context, envelope);
            return;
        }
        if (envelope.hasWelcome() && proofSent) {
            complete(Optional.empty());
            return;
        }
        fail(context, PeerFailure.AUTHENTICATION_FAILED);
    }

    private void answerChallenge(ChannelHandlerContext context, Envelope envelope) {
        Transcript transcript =
                new Transcript(self, nonce, peer, envelope.getChallenge().getNonce());
        boolean senderMatches = envelope.getSender().equals(peer);
        if (!senderMatches
                || !authenticator.verify(
                        Side.LISTENER, transcript, envelope.getChallenge().getProof())) {
            fail(context, PeerFailure.AUTHENTICATION_FAILED);
            return;
        }
        proofSent = true;
        Proof proof = Proof.newBuilder()
                .setProof(authenticator.proof(Side.OPENER, transcript))
                .build();
        context.writeAndFlush(PeerCodec.envelope(self).setProof(proof).build());
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        complete(Optional.of(proofSent ? PeerFailure.AUTHENTICATION_FAILED : PeerFailure.NOT_CONNECTED));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(context, PeerFailure.NOT_CONNECTED);
    }

    private void fail(ChannelHandlerContext context, PeerFailure failure) {
        complete(Optional.of(failure));
        context.close();
    }

    private void complete(Optional<PeerFailure> outcome) {
        if (completed) {
            return;
        }
        completed = true;
        onCompleted.accept(outcome);
    }
}
