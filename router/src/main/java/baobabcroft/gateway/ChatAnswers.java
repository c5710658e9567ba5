package baobabcroft.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.balance.FailureKind;
import baobabcroft.chat.ChatAnswer;
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

/** Reads engines' answers, checks them and makes callers' answers of them. Thread-safe. */
final class ChatAnswers {
    private static final long MAX_ANSWER_BYTES = 8L << 20;

    private final ChargeRecorder charges;
    private final Ticker ticker;
    private final ActorSystem<?> system;

    ChatAnswers(ChargeRecorder charges, Ticker ticker, ActorSystem<?> system) {
        this.charges = checkNotNull(charges);
        this.ticker = checkNotNull(ticker);
        this.system = checkNotNull(system);
    }

    /** Returns an engine's refusal of the caller's request as it is. */
    CompletionStage<CallerAnswer> relayRefusal(ChatRun run, Delivery delivery) {
        return read(run, delivery).thenApply(bytes -> {
            delivery.succeeded(ticker, 0);
            run.usage().release(0);
            HttpResponse response = HttpResponse.create()
                    .withStatus(delivery.response().status())
                    .withEntity(HttpEntities.create(delivery.response().entity().getContentType(), bytes));
            return new CallerAnswer(withProvenance(response, delivery), false);
        });
    }

    /** Returns a whole answer once it has come and passed the checks, or fails. */
    CompletionStage<ChatDraft> draft(ChatRun run, Delivery delivery) {
        return read(run, delivery).thenApply(bytes -> {
            Optional<ChatAnswer> parsed = ChatAnswer.parse(
                    bytes.toArray(), delivery.target().name(), run.body().choices());
            if (parsed.isEmpty()) {
                delivery.failed(FailureKind.INVALID_ANSWER);
                throw RouterException.of(
                        ErrorCode.ENDPOINT_ANSWER_INVALID,
                        Execution.MAY_HAVE_RUN,
                        "the endpoint's answer was not a whole chat answer of "
                                + delivery.target().name());
            }
            delivery.succeeded(ticker, parsed.get().completionTokens());
            return ChatDraft.of(delivery, bytes, parsed.get());
        });
    }

    /** Records the charge of a whole answer and releases it. */
    CompletionStage<CallerAnswer> release(ChatRun run, ChatDraft draft) {
        run.usage().release(draft.tokens());
        HttpResponse response = HttpResponse.create()
                .withStatus(StatusCodes.OK)
                .withEntity(HttpEntities.create(ContentTypes.APPLICATION_JSON, draft.bytes()));
        String item = draft.delivery().target().name();
        return charges.record(run.charge(item, draft.tokens(), draft.amountMicros(), true))
                .thenApply(unused -> new CallerAnswer(withProvenance(response, draft.delivery()), false));
    }

    /** Returns an answer that is relayed as the engine generates it; its end waits for its charge. */
    CallerAnswer streamed(ChatRun run, Delivery delivery) {
        long remainingMillis = Math.max(1, run.caller().remainingMillis(ticker.read()));
        Target target = delivery.target();
        ChatStreamEnd end = new ChatStreamEnd(
                delivery,
                charges,
                run.usage(),
                (tokens, whole) ->
                        run.charge(target.name(), tokens, Charge.priceMicros(tokens, target.priceMicros()), whole),
                ticker);
        Source<ByteString, ?> relayed = delivery.response()
                .entity()
                .getDataBytes()
                .completionTimeout(Duration.ofMillis(remainingMillis))
                .via(SseRelay.create(
                        target.name(), run.body().choices(), run.body().wantsUsage(), end));
        HttpResponse response = HttpResponse.create()
                .withStatus(StatusCodes.OK)
                .withEntity(HttpEntities.create(delivery.response().entity().getContentType(), relayed));
        return new CallerAnswer(withProvenance(response, delivery), true);
    }

    private CompletionStage<ByteString> read(ChatRun run, Delivery delivery) {
        long remainingMillis = Math.max(1, run.caller().remainingMillis(ticker.read()));
        return delivery.readBody(MAX_ANSWER_BYTES, remainingMillis, system);
    }

    private static HttpResponse withProvenance(HttpResponse response, Delivery delivery) {
        String name = delivery.target().name();
        String model = VersionId.parse(name).map(VersionId::model).orElse(name);
        return delivery.withProvenance(response)
                .addHeader(RawHeader.create(Headers.MODEL, model))
                .addHeader(RawHeader.create(Headers.VERSION, name));
    }
}
