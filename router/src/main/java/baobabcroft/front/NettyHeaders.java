package baobabcroft.front;

import baobabcroft.relay.Header;
import baobabcroft.relay.Headers;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Conversions between Netty's types and those of the relay package. */
final class NettyHeaders {
    private NettyHeaders() {}

    /** Returns the headers in the relay's type. */
    static Headers toRelay(HttpHeaders headers) {
        List<Header> lines = new ArrayList<>(headers.size());
        headers.forEach(entry -> lines.add(new Header(entry.getKey(), entry.getValue())));
        return Headers.copyOf(lines);
    }

    /** Adds all headers to a Netty message's headers. */
    static void addTo(HttpHeaders target, Headers headers) {
        headers.lines().forEach(line -> target.add(line.name(), line.value()));
    }

    /** Returns the length of all names and values together, in characters. */
    static int lengthOf(HttpHeaders headers) {
        int length = 0;
        for (Map.Entry<String, String> line : headers) {
            length += line.getKey().length() + line.getValue().length();
        }
        return length;
    }

    /** Returns a copy of the readable bytes. */
    static byte[] bytes(ByteBuf buffer) {
        return ByteBufUtil.getBytes(buffer);
    }
}
