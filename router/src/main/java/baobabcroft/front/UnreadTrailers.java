package baobabcroft.front;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/** Trailers of a chunked body. None is kept: they are not used, and an incomplete trailer would take memory. */
final class UnreadTrailers extends DefaultHttpHeaders {
    static final HttpHeadersFactory FACTORY = new HttpHeadersFactory() {
        @Override
        public HttpHeaders newHeaders() {
            return new UnreadTrailers();
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
            return new UnreadTrailers();
        }
    };

    private UnreadTrailers() {}

    @Override
    public HttpHeaders add(String name, Object value) {
        return this;
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        return this;
    }
}
