package baobabcroft.front;

import static org.junit.jupiter.api.Assertions.assertEquals;

import baobabcroft.front.PooledHttpClient.Result;
import com.google.common.net.HostAndPort;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@SuppressWarnings("FutureReturnValueIgnored") // A failed write closes the channel, and then the test fails.
class PooledHttpClientTest {
    private static final long TIMEOUT_SECONDS = 20;
    private static final long TIMEOUT_MILLIS = 10_000;
    private static final int MAX_REQUEST_BYTES = 4_096;
    private static final long MAX_RESPONSE_BYTES = 4_096;
    private static final String TRUNCATED_COPY_PATH = "/truncated-copy/";
    private static final String TRUNCATED_BODY_PATH = "/truncated-body";

    private final EventLoopGroup loop = new NioEventLoopGroup(1);
    private final Channel server = NettyChannels.server(
                    loop,
                    () -> List.of(
                            new HttpServerCodec(), new HttpObjectAggregator(MAX_REQUEST_BYTES), new CopyingHandler()))
            .bind("127.0.0.1", 0)
            .syncUninterruptibly()
            .channel();
    private final PooledHttpClient client = new PooledHttpClient(
            loop.next(), HostAndPort.fromParts("127.0.0.1", ((InetSocketAddress) server.localAddress()).getPort()));

    /** Responds with the target of the request, after a second copy of the response to the one before. */
    private static final class CopyingHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private Optional<String> lastTarget = Optional.empty();

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (request.uri().startsWith(TRUNCATED_COPY_PATH)) {
                answerWithTruncatedCopy(context);
                return;
            }
            if (request.uri().equals(TRUNCATED_BODY_PATH)) {
                String head = "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n";
                write(context, head + "one two" + head + "one two three 45");
                return;
            }
            lastTarget.ifPresent(target -> context.write(response(target)));
            lastTarget = Optional.of(request.uri());
            context.writeAndFlush(response(request.uri()));
        }

        /**
         * Responds with the status as the body: a failure on a connection that has been used, and otherwise a
         * success and the start of its second copy.
         */
        private void answerWithTruncatedCopy(ChannelHandlerContext context) {
            String status = lastTarget.isPresent() ? "500 Internal Server Error" : "200 OK";
            String copy = lastTarget.isPresent() ? "" : "HTTP/1.1 200 OK";
            lastTarget = Optional.of(status);
            String bytes = "HTTP/1.1 " + status + "\r\nContent-Length: " + status.length() + "\r\n\r\n" + status + copy;
            write(context, bytes);
        }

        private static void write(ChannelHandlerContext context, String bytes) {
            context.channel()
                    .pipeline()
                    .firstContext()
                    .writeAndFlush(Unpooled.copiedBuffer(bytes, StandardCharsets.US_ASCII));
        }

        private static DefaultFullHttpResponse response(String target) {
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.copiedBuffer(target, StandardCharsets.UTF_8));
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, target.length());
            return response;
        }
    }

    @AfterEach
    void stop() {
        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private Result result(Consumer<Consumer<Result>> call) {
        CompletableFuture<Result> result = new CompletableFuture<>();
        loop.execute(() -> call.accept(result::complete));
        return result.orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS).join();
    }

    private String body(Consumer<Consumer<Result>> call) {
        return new String(((Result.Response) result(call)).body(), StandardCharsets.UTF_8);
    }

    /** Responses of the server carry no id. */
    @Nested
    class LateCopiesOfResponses {
        @Test
        void areNotTakenForTheResponseOfAnotherCall() {
            for (String target : List.of("/1", "/2", "/3")) {
                assertEquals(
                        target,
                        body(callback -> client.callAlone("POST", target, new byte[0], TIMEOUT_MILLIS, callback)));
            }
        }

        // Guards against a response whose status is that of a truncated copy of the one before.
        @Test
        void areNotJoinedWithTheNextResponse() {
            for (String name : List.of("1", "2", "3")) {
                String target = TRUNCATED_COPY_PATH + name;
                assertEquals(
                        "200 OK",
                        body(callback -> client.get(target, TIMEOUT_MILLIS, MAX_RESPONSE_BYTES, callback)),
                        "each call is the first one on its connection");
            }
        }

        // Guards against a body that is filled up with the start of the next response.
        @Test
        void areNotTakenForTheEndOfATruncatedBody() {
            assertEquals(
                    new Result.Failure(true, "malformed response"),
                    result(callback -> client.get(TRUNCATED_BODY_PATH, TIMEOUT_MILLIS, MAX_RESPONSE_BYTES, callback)));
        }
    }
}
