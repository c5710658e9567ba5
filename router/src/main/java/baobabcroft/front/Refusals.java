package baobabcroft.front;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.List;

/** Which requests are refused before they are served, and the responses to them. */
final class Refusals {
    /** Delay after which a request that was refused for lack of memory may be sent again, in seconds. */
    private static final int RETRY_AFTER_SECONDS = 1;

    private Refusals() {}

    /** Returns the status of a request that cannot be decoded. */
    static HttpResponseStatus statusOf(Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException) {
            return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
        }
        if (cause instanceof TooLongHttpLineException) {
            return HttpResponseStatus.REQUEST_URI_TOO_LONG;
        }
        return HttpResponseStatus.BAD_REQUEST;
    }

    /** Returns whether all servers agree on where a request ends and on which host it is for. */
    static boolean hasUnambiguousFraming(HttpRequest request) {
        List<String> encodings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean chunkedOnly = encodings.isEmpty()
                || (encodings.size() == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.get(0)));
        boolean lengthOnce =
                request.headers().getAll(HttpHeaderNames.CONTENT_LENGTH).size() <= 1;
        boolean hostOnce = request.headers().getAll(HttpHeaderNames.HOST).size() == 1;
        boolean originForm = request.uri().startsWith("/");
        return chunkedOnly && lengthOnce && hostOnce && originForm;
    }

    /** Returns a response without content, after which the connection is closed. */
    static DefaultFullHttpResponse response(HttpResponseStatus status) {
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0).set(HttpHeaderNames.CONNECTION, "close");
        if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER_SECONDS);
        }
        return response;
    }
}
