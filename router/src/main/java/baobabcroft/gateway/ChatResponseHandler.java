package baobabcroft.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.balance.FailureKind;
import baobabcroft.chat.ChatCompletion;
import baobabcroft.chat.SseRelay;
import baobabcroft.common.ErrorCode;
import baobabcroft.common.Execution;
import baobabcroft.common.RouterException;
import baobabcroft.rules.VersionId;
import com.google.common.base.Ticker;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/** Reads and validates chat responses from engines and converts them to responses for callers. Thread-safe. */
final class ChatResponseHandler {
    private static final long MAX_RESPONSE_BYTES = 8L << 20;

    private final ChargeRecorder chargeRecorder;
    private final Ticker ticker;
    private final ActorSystem<?> system;

    ChatResponseHandler(ChargeRecorder chargeRecorder, Ticker ticker, ActorSystem<?> system) {
        this.chargeRecorder = checkNotNull(chargeRecorder);
        this.ticker = checkNotNull(ticker);
        this.system = checkNotNull(system);
    }

    /** Returns an engine's error response unchanged. Nothing is charged. */
    CompletionStage<CallerResponse> relayErrorResponse(ChatContext context, EndpointResponse endpointResponse) {
        return readBody(context, endpointResponse).thenApply(bytes -> {
            endpointResponse.reportSuccess(ticker, 0);
            context.reservation().release(0);
            HttpResponse response = HttpResponse.create()
                    .withStatus(endpointResponse.response().status())
                    .withEntity(HttpEntities.create(
                            endpointResponse.response().entity().getContentType(), bytes));
            return new CallerResponse(withProvenance(response, endpointResponse), false);
        });
    }

    /** Reads and validates a complete response; fails with {@code endpoint_answer_invalid}. */
    CompletionStage<PendingChatResponse> readCompletion(ChatContext context, EndpointResponse endpointResponse) {
        return readBody(context, endpointResponse).thenApply(bytes -> {
            Optional<ChatCompletion> parsed = ChatCompletion.parse(
                    bytes.toArray(),
                    endpointResponse.target().name(),
                    context.body().choices());
            if (parsed.isEmpty()) {
                endpointResponse.reportFailure(FailureKind.INVALID_ANSWER);
                throw RouterException.of(
                        ErrorCode.ENDPOINT_ANSWER_INVALID,
                        Execution.MAY_HAVE_RUN,
                        "the endpoint's response was not a complete chat completion of "
                                + endpointResponse.target().name());
            }
            endpointResponse.reportSuccess(ticker, parsed.get().completionTokens());
            return PendingChatResponse.of(endpointResponse, bytes, parsed.get());
        });
    }

    /** Records the charge for a complete response, then returns it for the caller. */
    CompletionStage<CallerResponse> chargeAndRelease(ChatContext context, PendingChatResponse pending) {
        context.reservation().release(pending.tokens());
        HttpResponse response = HttpResponse.create()
                .withStatus(StatusCodes.OK)
                .withEntity(HttpEntities.create(ContentTypes.APPLICATION_JSON, pending.bytes()));
        String item = pending.endpointResponse().target().name();
        return chargeRecorder
                .record(context.charge(item, pending.tokens(), pending.amountMicros(), true))
                .thenApply(unused -> new CallerResponse(withProvenance(response, pending.endpointResponse()), false));
    }

    /** Returns a response that is relayed as the engine generates it. Its end is held until the charge is recorded. */
    CallerResponse streamResponse(ChatContext context, EndpointResponse endpointResponse) {
        long remainingMillis = Math.max(1, context.caller().remainingMillis(ticker.read()));
        Target target = endpointResponse.target();
        ChatStreamObserver observer = new ChatStreamObserver(
                endpointResponse,
                chargeRecorder,
                context.reservation(),
                (tokens, complete) -> context.charge(
                        target.name(), tokens, Charge.priceMicros(tokens, target.priceMicros()), complete),
                ticker);
        Source<ByteString, ?> relayed = endpointResponse
                .response()
                .entity()
                .getDataBytes()
                .completionTimeout(Duration.ofMillis(remainingMillis))
                .via(SseRelay.create(
                        target.name(), context.body().choices(), context.body().includeUsage(), observer));
        HttpResponse response = HttpResponse.create()
                .withStatus(StatusCodes.OK)
                .withEntity(
                        HttpEntities.create(endpointResponse.response().entity().getContentType(), relayed));
        return new CallerResponse(withProvenance(response, endpointResponse), true);
    }

    private CompletionStage<ByteString> readBody(ChatContext context, EndpointResponse endpointResponse) {
        long remainingMillis = Math.max(1, context.caller().remainingMillis(ticker.read()));
        return endpointResponse.readBody(MAX_RESPONSE_BYTES, remainingMillis, system);
    }

    private static HttpResponse withProvenance(HttpResponse response, EndpointResponse endpointResponse) {
        String name = endpointResponse.target().name();
        String model = VersionId.parse(name).map(VersionId::model).orElse(name);
        return endpointResponse
                .withProvenance(response)
                .addHeader(RawHeader.create(Headers.MODEL, model))
                .addHeader(RawHeader.create(Headers.VERSION, name));
    }
}
