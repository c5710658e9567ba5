package baobabcroft.peer;

import baobabcroft.peer.proto.Envelope;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.handler.timeout.WriteTimeoutHandler;
import java.util.concurrent.TimeUnit;

/** Framing of both sides of a connection: a length of four bytes, followed by an {@code Envelope}. */
final class PeerCodec {
    static final int PROTOCOL_VERSION = 1;

    private static final int LENGTH_BYTES = 4;
    private static final int HANDSHAKE_FRAME_BYTES = 1_024;
    private static final String FRAME_DECODER = "frameDecoder";

    private PeerCodec() {}

    /** Adds framing, timeouts and the handshake. Only short frames are accepted until {@link #switchToSession}. */
    static void install(ChannelPipeline pipeline, PeerSettings settings, ChannelHandler handshake) {
        pipeline.addLast(FRAME_DECODER, frameDecoder(HANDSHAKE_FRAME_BYTES));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
        pipeline.addLast(new ProtobufDecoder(Envelope.getDefaultInstance()));
        pipeline.addLast(new ProtobufEncoder());
        pipeline.addLast(new WriteTimeoutHandler(settings.writeTimeoutMillis(), TimeUnit.MILLISECONDS));
        pipeline.addLast(new IdleStateHandler(0, 0, settings.idleTimeoutMillis(), TimeUnit.MILLISECONDS));
        pipeline.addLast(handshake);
    }

    /** Replaces the handshake with the session handler and raises the frame limit to the configured maximum. */
    static void switchToSession(
            ChannelPipeline pipeline, PeerSettings settings, ChannelHandler handshake, ChannelHandler session) {
        pipeline.replace(handshake, "session", session);
        pipeline.replace(FRAME_DECODER, FRAME_DECODER, frameDecoder(settings.maxFrameBytes()));
    }

    static WriteBufferWaterMark waterMark(PeerSettings settings) {
        return new WriteBufferWaterMark(settings.maxQueuedBytes() / 2, settings.maxQueuedBytes());
    }

    static Envelope.Builder envelope(String sender) {
        return Envelope.newBuilder().setProtocolVersion(PROTOCOL_VERSION).setSender(sender);
    }

    private static LengthFieldBasedFrameDecoder frameDecoder(int maxFrameBytes) {
        return new LengthFieldBasedFrameDecoder(maxFrameBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
    }
}
