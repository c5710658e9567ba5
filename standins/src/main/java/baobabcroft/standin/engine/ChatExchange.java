package baobabcroft.standin.engine;

import baobabcroft.standin.fault.CorruptedResponses;
import baobabcroft.standin.fault.FaultKind;
import baobabcroft.standin.http.EndpointHeaders;
import baobabcroft.standin.http.Exchange;
import baobabcroft.standin.http.Responses;
import baobabcroft.standin.http.StandinJson;
import baobabcroft.standin.http.StandinSystem;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.pekko.NotUsed;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.MediaTypes;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.japi.Pair;
import org.apache.pekko.stream.OverflowStrategy;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.stream.javadsl.SourceQueueWithComplete;
import org.apache.pekko.util.ByteString;

/** Processing of one chat request by the engine. Engine events are handled with the driver's lock held. */
final class ChatExchange {
    private static final AtomicLong LAST_ID = new AtomicLong();
    private static final int STREAM_BUFFER = 8_192;

    private final Exchange exchange;
    private final ChatMessages.Request request;
    private final AnswerText answer;
    private final Optional<FaultKind> fault;
    private final String answerId;
    private final long engineId = LAST_ID.incrementAndGet();

    ChatExchange(Exchange exchange, ChatMessages.Request request, AnswerText answer, Optional<FaultKind> fault) {
        this.exchange = exchange;
        this.request = request;
        this.answer = answer;
        this.fault = fault;
        this.answerId = has(FaultKind.WRONG_ID)
                ? "another-request"
                : exchange.header(EndpointHeaders.REQUEST_ID).orElse("request-" + engineId);
    }

    private boolean has(FaultKind kind) {
        return fault.filter(kind::equals).isPresent();
    }

    private boolean failsMidAnswer() {
        return has(FaultKind.DIE_MID_ANSWER) || has(FaultKind.HALF_ANSWER);
    }

    CompletionStage<HttpResponse> run(EngineDriver driver, EngineSettings settings) {
        String prompt = request.prompt();
        EngineRequest work = new EngineRequest(
                engineId,
                AnswerText.blocksOf(prompt, settings.blockTokens()),
                AnswerText.tokensOf(prompt),
                answer.tokens().size(),
                request.priority(),
                request.stream());
        CompletionStage<HttpResponse> response =
                request.stream() ? runStreaming(driver, work) : runNonStreaming(driver, work);
        var unused = exchange.connection().closed().thenRun(() -> driver.cancel(engineId));
        return response;
    }

    private CompletionStage<HttpResponse> runNonStreaming(EngineDriver driver, EngineRequest work) {
        CompletableFuture<HttpResponse> response = new CompletableFuture<>();
        driver.submit(work, event -> {
            if (event.kind() == EngineEvent.Kind.FINISHED) {
                response.complete(withHeaders(nonStreamingResponse()));
            }
        });
        return response;
    }

    private HttpResponse nonStreamingResponse() {
        String json = StandinJson.write(
                ChatMessages.completion("chatcmpl-" + answerId, request.model(), answer.fullText(), usage()));
        if (has(FaultKind.GARBAGE)) {
            return CorruptedResponses.malformed();
        }
        if (has(FaultKind.HALF_ANSWER)) {
            return CorruptedResponses.truncated(json);
        }
        return has(FaultKind.DIE_MID_ANSWER) ? CorruptedResponses.abortedMidBody(json) : Responses.json(200, json);
    }

    private ChatMessages.Usage usage() {
        return ChatMessages.Usage.of(
                AnswerText.tokensOf(request.prompt()), answer.tokens().size());
    }

    private CompletionStage<HttpResponse> runStreaming(EngineDriver driver, EngineRequest work) {
        Pair<SourceQueueWithComplete<ByteString>, Source<ByteString, NotUsed>> lines =
                Source.<ByteString>queue(STREAM_BUFFER, OverflowStrategy.fail()).preMaterialize(StandinSystem.shared());
        CompletableFuture<HttpResponse> response = new CompletableFuture<>();
        HttpResponse head = withHeaders(HttpResponse.create()
                .withEntity(
                        HttpEntities.createChunked(ContentTypes.create(MediaTypes.TEXT_EVENT_STREAM), lines.second())));
        driver.submit(work, event -> {
            if (event.kind() == EngineEvent.Kind.FIRST_TOKEN) {
                response.complete(head);
            }
            emit(event, lines.first(), driver);
        });
        return response;
    }

    private void emit(EngineEvent event, SourceQueueWithComplete<ByteString> queue, EngineDriver driver) {
        if (failsMidAnswer() && event.tokens() > answer.tokens().size() / 2) {
            driver.cancel(engineId);
            endEarly(queue);
            return;
        }
        switch (event.kind()) {
            case FIRST_TOKEN, TOKEN -> offer(queue, token(event.tokens() - 1));
            case FINISHED -> finish(queue);
            default -> {
                // Nothing is sent before the first token.
            }
        }
    }

    private void endEarly(SourceQueueWithComplete<ByteString> queue) {
        if (has(FaultKind.HALF_ANSWER)) {
            queue.complete();
        } else {
            queue.fail(new IllegalStateException("connection aborted by the stand-in"));
        }
    }

    private String token(int index) {
        if (has(FaultKind.GARBAGE)) {
            return "{not a chunk";
        }
        return StandinJson.write(ChatMessages.chunk(
                "chatcmpl-" + answerId, request.model(), answer.tokens().get(index)));
    }

    private void finish(SourceQueueWithComplete<ByteString> queue) {
        offer(queue, StandinJson.write(ChatMessages.lastChunk("chatcmpl-" + answerId, request.model(), usage())));
        offer(queue, "[DONE]");
        queue.complete();
    }

    private static void offer(SourceQueueWithComplete<ByteString> queue, String data) {
        var unused = queue.offer(ByteString.fromString("data: " + data + "\n\n"));
    }

    private HttpResponse withHeaders(HttpResponse response) {
        return response.addHeader(RawHeader.create(EndpointHeaders.REQUEST_ID, answerId))
                .addHeader(RawHeader.create(EndpointHeaders.SERVED_VERSION, request.model()));
    }
}
