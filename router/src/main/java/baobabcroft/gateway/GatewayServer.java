package baobabcroft.gateway;

import baobabcroft.admission.AdmissionSettings;
import baobabcroft.common.ErrorCode;
import baobabcroft.common.RouterException;
import baobabcroft.common.Scheduler;
import baobabcroft.metrics.RouterMetrics;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Splitter;
import com.google.common.base.Ticker;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.ResponseEntity;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.util.ByteString;

/** Takes callers' requests to their flows and turns every outcome into an answer. Thread-safe. */
public final class GatewayServer {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String CHAT_PATH = "/v1/chat/completions";
    private static final String MODELS_PATH = "/v1/models";
    private static final String SERVICES_PREFIX = "/v1/services/";
    private static final long RETRY_AFTER_MILLIS = 1_000;
    private static final long DRAIN_INTERVAL_MILLIS = 20;

    private final ActiveRules rulesInForce;
    private final CallerReader callerReader;
    private final BodyReader bodyReader;
    private final ChatFlow chatFlow;
    private final ServiceFlow serviceFlow;
    private final InFlightLimiter gate;
    private final RouterMetrics metrics;
    private final Ticker ticker;

    private GatewayServer(GatewayDependencies parts, ChatFlow chatFlow, ServiceFlow serviceFlow) {
        this.rulesInForce = parts.rulesInForce();
        this.callerReader = new CallerReader(
                parts.ticker(),
                parts.wallClock(),
                parts.requestIds(),
                parts.bounds().defaultDeadlineMillis());
        this.bodyReader = new BodyReader(
                parts.system(), parts.bounds().maxBodyBytes(), parts.bounds().bodyReadTimeoutMillis());
        this.chatFlow = chatFlow;
        this.serviceFlow = serviceFlow;
        this.gate = parts.gate();
        this.metrics = parts.metrics();
        this.ticker = parts.ticker();
    }

    /**
     * Returns a server made of the given parts.
     *
     * @param parts what it works with
     * @return the server
     */
    public static GatewayServer create(GatewayDependencies parts) {
        Rooms rooms = new Rooms(
                parts.pool(),
                parts.picker(),
                AdmissionSettings.defaults(),
                parts.random(),
                parts.scheduler(),
                parts.ticker());
        drainForever(rooms, parts.scheduler());
        parts.metrics().gauge("admission.waiting", rooms::waiting);
        Dispatcher dispatcher = Dispatcher.create(parts, rooms);
        AccountGate accountGate = new AccountGate(parts.limits(), parts.wallClock(), parts.metrics());
        ChatFlow chat = ChatFlow.create(parts, dispatcher, accountGate);
        ClaimedCalls claimedCalls =
                new ClaimedCalls(parts.claims(), parts.presence(), parts.charges(), parts.wallClock());
        ServiceFlow services = ServiceFlow.create(parts, dispatcher, claimedCalls, accountGate);
        return new GatewayServer(parts, chat, services);
    }

    private static void drainForever(Rooms rooms, Scheduler scheduler) {
        scheduler.schedule(DRAIN_INTERVAL_MILLIS, () -> {
            rooms.drain();
            drainForever(rooms, scheduler);
        });
    }

    /**
     * Answers one request.
     *
     * @param request the request
     * @return the answer; never completes exceptionally
     */
    public CompletionStage<HttpResponse> handle(HttpRequest request) {
        long arrivedNanos = ticker.read();
        String path = request.getUri().path();
        if (path.equals("/healthz")) {
            return CompletableFuture.completedFuture(text(StatusCodes.OK.intValue(), "ok"));
        }
        if (path.equals("/readyz")) {
            return CompletableFuture.completedFuture(readiness());
        }
        return run(request, path).handle((answer, failure) -> {
            metrics.recordFirstByte(ticker.read() - arrivedNanos);
            return failure == null ? answer : refuse(failure);
        });
    }

    private CompletionStage<HttpResponse> run(HttpRequest request, String path) {
        try {
            gate.acquire(RETRY_AFTER_MILLIS);
        } catch (RouterException refusal) {
            return CompletableFuture.failedFuture(refusal);
        }
        CompletionStage<CallerAnswer> answer;
        try {
            answer = dispatch(request, path);
        } catch (RuntimeException refusal) {
            gate.release();
            return CompletableFuture.failedFuture(refusal);
        }
        return answer.whenComplete((done, failure) -> {
                    if (failure != null || !done.streamed()) {
                        gate.release();
                    }
                })
                .thenApply(done -> done.streamed() ? exitAtEnd(done.response()) : done.response());
    }

    private CompletionStage<CallerAnswer> dispatch(HttpRequest request, String path) {
        RulesSnapshot snapshot = rulesInForce
                .forNewRequests()
                .orElseThrow(() -> RouterException.notRun(
                        ErrorCode.CONFIG_STALE,
                        "this instance is not certain of the configuration in force",
                        RETRY_AFTER_MILLIS));
        if (path.equals(CHAT_PATH)) {
            requireMethod(request, request.method().equals(HttpMethods.POST));
            requireJson(request);
            CallerRequest caller = callerReader.read(request, snapshot.rules());
            return bodyReader.read(request).thenCompose(body -> chatFlow.run(caller, body));
        }
        if (path.equals(MODELS_PATH)) {
            requireMethod(request, request.method().equals(HttpMethods.GET));
            CallerRequest caller = callerReader.read(request, snapshot.rules());
            return CompletableFuture.completedFuture(new CallerAnswer(models(caller, snapshot), false));
        }
        if (path.startsWith(SERVICES_PREFIX)) {
            return dispatchService(request, path, snapshot);
        }
        throw RouterException.notRun(ErrorCode.NOT_FOUND, "nothing is served at " + path);
    }

    private CompletionStage<CallerAnswer> dispatchService(HttpRequest request, String path, RulesSnapshot snapshot) {
        requireMethod(
                request,
                request.method().equals(HttpMethods.POST) || request.method().equals(HttpMethods.GET));
        List<String> names = Splitter.on('/').splitToList(path.substring(SERVICES_PREFIX.length()));
        if (names.size() != 2) {
            throw RouterException.notRun(
                    ErrorCode.NOT_FOUND, "the path must be " + SERVICES_PREFIX + "{service}/{operation}");
        }
        CallerRequest caller = callerReader.read(request, snapshot.rules());
        return bodyReader
                .read(request)
                .thenCompose(body -> serviceFlow.run(caller, names.get(0), names.get(1), request, body));
    }

    private static void requireMethod(HttpRequest request, boolean allowed) {
        if (!allowed) {
            throw RouterException.notRun(
                    ErrorCode.METHOD_NOT_ALLOWED,
                    "this path does not take " + request.method().value());
        }
    }

    private static void requireJson(HttpRequest request) {
        if (!request.entity().getContentType().mediaType().equals(ContentTypes.APPLICATION_JSON.mediaType())) {
            throw RouterException.notRun(
                    ErrorCode.UNSUPPORTED_MEDIA_TYPE,
                    "the body must be application/json, is " + request.entity().getContentType());
        }
    }

    private HttpResponse exitAtEnd(HttpResponse response) {
        ResponseEntity entity = response.entity();
        return response.withEntity(HttpEntities.create(
                entity.getContentType(), entity.getDataBytes().watchTermination((unused, end) -> {
                    end.whenComplete((done, failure) -> gate.release());
                    return unused;
                })));
    }

    private HttpResponse refuse(Throwable failure) {
        RouterException refusal = Problems.toRefusal(failure);
        metrics.countRefusal(refusal.code(), refusal.execution());
        return Problems.response(refusal);
    }

    private HttpResponse readiness() {
        boolean ready = !gate.isClosing() && rulesInForce.forNewRequests().isPresent();
        return ready
                ? text(StatusCodes.OK.intValue(), "ready")
                : text(StatusCodes.SERVICE_UNAVAILABLE.intValue(), "not ready");
    }

    private static HttpResponse text(int status, String text) {
        return HttpResponse.create()
                .withStatus(status)
                .withEntity(HttpEntities.create(ContentTypes.TEXT_PLAIN_UTF8, ByteString.fromString(text + "\n")));
    }

    private static HttpResponse models(CallerRequest caller, RulesSnapshot snapshot) {
        ObjectNode root = JSON.createObjectNode();
        root.put("object", "list");
        ArrayNode data = root.putArray("data");
        snapshot.rules().versions().keySet().stream()
                .filter(version -> caller.account().allows(version))
                .forEach(version -> data.addObject()
                        .put("id", version.toString())
                        .put("object", "model")
                        .put("owned_by", "baobabcroft"));
        return HttpResponse.create()
                .withEntity(HttpEntities.create(ContentTypes.APPLICATION_JSON, ByteString.fromString(root.toString())));
    }
}
