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

/** Routes callers' requests to their handlers and converts every outcome to an HTTP response. Thread-safe. */
public final class GatewayServer {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String CHAT_PATH = "/v1/chat/completions";
    private static final String MODELS_PATH = "/v1/models";
    private static final String SERVICES_PREFIX = "/v1/services/";
    private static final long RETRY_AFTER_MILLIS = 1_000;
    private static final long QUEUE_DRAIN_INTERVAL_MILLIS = 20;

    private final ActiveRules activeRules;
    private final CallerRequestReader callerRequestReader;
    private final BodyReader bodyReader;
    private final ChatHandler chatHandler;
    private final ServiceHandler serviceHandler;
    private final InFlightLimiter inFlightLimiter;
    private final RouterMetrics metrics;
    private final Ticker ticker;

    private GatewayServer(GatewayDependencies dependencies, ChatHandler chatFlow, ServiceHandler serviceFlow) {
        this.activeRules = dependencies.activeRules();
        this.callerRequestReader = new CallerRequestReader(
                dependencies.ticker(),
                dependencies.wallClock(),
                dependencies.requestIds(),
                dependencies.requestLimits().defaultDeadlineMillis());
        this.bodyReader = new BodyReader(
                dependencies.system(),
                dependencies.requestLimits().maxBodyBytes(),
                dependencies.requestLimits().bodyReadTimeoutMillis());
        this.chatHandler = chatFlow;
        this.serviceHandler = serviceFlow;
        this.inFlightLimiter = dependencies.inFlightLimiter();
        this.metrics = dependencies.metrics();
        this.ticker = dependencies.ticker();
    }

    /**
     * Returns a new server, with its recurring task scheduled.
     *
     * @param dependencies the dependencies of the gateway
     * @return the server
     */
    public static GatewayServer create(GatewayDependencies dependencies) {
        EndpointAdmission admission = new EndpointAdmission(
                dependencies.pool(),
                dependencies.picker(),
                AdmissionSettings.defaults(),
                dependencies.random(),
                dependencies.scheduler(),
                dependencies.ticker());
        scheduleQueueDrain(admission, dependencies.scheduler());
        dependencies.metrics().gauge("admission.waiting", admission::queuedRequests);
        Dispatcher dispatcher = Dispatcher.create(dependencies, admission);
        AccountLimiter accountLimiter =
                new AccountLimiter(dependencies.accountLimits(), dependencies.wallClock(), dependencies.metrics());
        ChatHandler chatHandler = ChatHandler.create(dependencies, dispatcher, accountLimiter);
        ClaimedCallExecutor claimedCallExecutor = new ClaimedCallExecutor(
                dependencies.claims(),
                dependencies.instancePresence(),
                dependencies.chargeRecorder(),
                dependencies.wallClock());
        ServiceHandler serviceHandler =
                ServiceHandler.create(dependencies, dispatcher, claimedCallExecutor, accountLimiter);
        return new GatewayServer(dependencies, chatHandler, serviceHandler);
    }

    private static void scheduleQueueDrain(EndpointAdmission admission, Scheduler scheduler) {
        scheduler.schedule(QUEUE_DRAIN_INTERVAL_MILLIS, () -> {
            admission.drain();
            scheduleQueueDrain(admission, scheduler);
        });
    }

    /**
     * Handles a request.
     *
     * @param request the request
     * @return the response; never completes exceptionally
     */
    public CompletionStage<HttpResponse> handle(HttpRequest request) {
        long arrivedNanos = ticker.read();
        String path = request.getUri().path();
        if (path.equals("/healthz")) {
            return CompletableFuture.completedFuture(textResponse(StatusCodes.OK.intValue(), "ok"));
        }
        if (path.equals("/readyz")) {
            return CompletableFuture.completedFuture(readinessResponse());
        }
        return handleWithinLimit(request, path).handle((response, failure) -> {
            metrics.recordFirstByte(ticker.read() - arrivedNanos);
            return failure == null ? response : errorResponse(failure);
        });
    }

    private CompletionStage<HttpResponse> handleWithinLimit(HttpRequest request, String path) {
        try {
            inFlightLimiter.acquire(RETRY_AFTER_MILLIS);
        } catch (RouterException error) {
            return CompletableFuture.failedFuture(error);
        }
        CompletionStage<CallerResponse> response;
        try {
            response = route(request, path);
        } catch (RuntimeException error) {
            inFlightLimiter.release();
            return CompletableFuture.failedFuture(error);
        }
        return response.whenComplete((callerResponse, failure) -> {
                    if (failure != null || !callerResponse.streamed()) {
                        inFlightLimiter.release();
                    }
                })
                .thenApply(callerResponse -> callerResponse.streamed()
                        ? releaseAtEnd(callerResponse.response())
                        : callerResponse.response());
    }

    private CompletionStage<CallerResponse> route(HttpRequest request, String path) {
        RulesSnapshot snapshot = activeRules
                .forNewRequests()
                .orElseThrow(() -> RouterException.notRun(
                        ErrorCode.CONFIG_STALE,
                        "this instance cannot confirm that its configuration is current",
                        RETRY_AFTER_MILLIS));
        if (path.equals(CHAT_PATH)) {
            requireMethod(request, request.method().equals(HttpMethods.POST));
            requireJson(request);
            CallerRequest caller = callerRequestReader.read(request, snapshot.rules());
            return bodyReader.read(request).thenCompose(body -> chatHandler.handle(caller, body));
        }
        if (path.equals(MODELS_PATH)) {
            requireMethod(request, request.method().equals(HttpMethods.GET));
            CallerRequest caller = callerRequestReader.read(request, snapshot.rules());
            return CompletableFuture.completedFuture(new CallerResponse(modelsResponse(caller, snapshot), false));
        }
        if (path.startsWith(SERVICES_PREFIX)) {
            return routeServiceCall(request, path, snapshot);
        }
        throw RouterException.notRun(ErrorCode.NOT_FOUND, "no resource exists at " + path);
    }

    private CompletionStage<CallerResponse> routeServiceCall(HttpRequest request, String path, RulesSnapshot snapshot) {
        requireMethod(
                request,
                request.method().equals(HttpMethods.POST) || request.method().equals(HttpMethods.GET));
        List<String> names = Splitter.on('/').splitToList(path.substring(SERVICES_PREFIX.length()));
        if (names.size() != 2) {
            throw RouterException.notRun(
                    ErrorCode.NOT_FOUND, "the path must be " + SERVICES_PREFIX + "{service}/{operation}");
        }
        CallerRequest caller = callerRequestReader.read(request, snapshot.rules());
        return bodyReader
                .read(request)
                .thenCompose(body -> serviceHandler.handle(caller, names.get(0), names.get(1), request, body));
    }

    private static void requireMethod(HttpRequest request, boolean allowed) {
        if (!allowed) {
            throw RouterException.notRun(
                    ErrorCode.METHOD_NOT_ALLOWED,
                    "this path does not support the method " + request.method().value());
        }
    }

    private static void requireJson(HttpRequest request) {
        if (!request.entity().getContentType().mediaType().equals(ContentTypes.APPLICATION_JSON.mediaType())) {
            throw RouterException.notRun(
                    ErrorCode.UNSUPPORTED_MEDIA_TYPE,
                    "the content type must be application/json, was "
                            + request.entity().getContentType());
        }
    }

    private HttpResponse releaseAtEnd(HttpResponse response) {
        ResponseEntity entity = response.entity();
        return response.withEntity(HttpEntities.create(
                entity.getContentType(), entity.getDataBytes().watchTermination((unused, end) -> {
                    end.whenComplete((callerResponse, failure) -> inFlightLimiter.release());
                    return unused;
                })));
    }

    private HttpResponse errorResponse(Throwable failure) {
        RouterException error = ProblemDetails.toRouterException(failure);
        metrics.countRefusal(error.code(), error.execution());
        return ProblemDetails.toResponse(error);
    }

    private HttpResponse readinessResponse() {
        boolean ready =
                !inFlightLimiter.isClosing() && activeRules.forNewRequests().isPresent();
        return ready
                ? textResponse(StatusCodes.OK.intValue(), "ready")
                : textResponse(StatusCodes.SERVICE_UNAVAILABLE.intValue(), "not ready");
    }

    private static HttpResponse textResponse(int status, String text) {
        return HttpResponse.create()
                .withStatus(status)
                .withEntity(HttpEntities.create(ContentTypes.TEXT_PLAIN_UTF8, ByteString.fromString(text + "\n")));
    }

    private static HttpResponse modelsResponse(CallerRequest caller, RulesSnapshot snapshot) {
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
