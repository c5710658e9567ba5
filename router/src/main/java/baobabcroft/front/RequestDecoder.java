package baobabcroft.front;

import baobabcroft.routing.CallerLimits;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Decodes callers' requests and rejects ambiguous framing, which would allow request smuggling. */
final class RequestDecoder extends HttpRequestDecoder {
    RequestDecoder(CallerLimits limits) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(limits.maxHeaderBytes())
                .setMaxHeaderSize(limits.maxHeaderBytes()));
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Transfer-Encoding and Content-Length");
    }
}
