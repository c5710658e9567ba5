package baobabcroft.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.balance.EndpointCriteria;
import baobabcroft.balance.FailureKind;
import baobabcroft.common.ErrorCode;
import baobabcroft.common.Execution;
import baobabcroft.common.RouterException;
import baobabcroft.common.Scheduler;
import baobabcroft.common.StatedPause;
import baobabcroft.endpoint.EndpointCall;
import baobabcroft.endpoint.EndpointClient;
import baobabcroft.endpoint.EndpointResult;
import baobabcroft.endpoint.EndpointResult.Answered;
import baobabcroft.endpoint.EndpointResult.Failed;
import baobabcroft.metrics.RouterMetrics;
import baobabcroft.retry.RequestAttempts;
import baobabcroft.retry.RetryBudget;
import baobabcroft.retry.RetryContext;
import baobabcroft.retry.RetryDecision;
import baobabcroft.retry.RetryDecision.Retry;
import baobabcroft.retry.RetryDecision.Stop;
import baobabcroft.retry.RetryPolicy;
import com.google.common.base.Ticker;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;

/**
 * Sends requests to endpoints and retries them where that is safe.
 *
 * <p>Immediately before each send, the rules are checked again, and the target is resolved anew if they have changed. A
 * request is therefore not sent if its version has been withdrawn in the meantime, or if this instance was paused and
 * its configuration may be outdated. A request whose connection failed is sent to another endpoint under a separate
 * retry budget, because the failed attempt put no load on any endpoint. Thread-safe.
 */
final class Dispatcher {
    private static final long RETRY_AFTER_MILLIS = 1_000;
    private static final double CONNECT_RETRY_SHARE = 1.0;
    private static final double MAX_CONNECT_RETRY_TOKENS = 100;
    private static final int STATUS_PRECONDITION_FAILED = 412;
    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final int STATUS_SERVER_ERROR = 500;
    private static final int STATUS_UNAVAILABLE = 503;

    private final ActiveRules activeRules;
    private final EndpointAdmission admission;
    private final EndpointClient client;
    private final CrashDetector crashDetector;
    private final RetryPolicy retryPolicy;
    private final RetryBudget retryBudget;
    private final RetryBudget connectRetryBudget;
    private final Supplier<UniformRandomProvider> random;
    private final Scheduler scheduler;
    private final Ticker ticker;
    private final RouterMetrics metrics;
    private final Consumer<HttpResponse> discardBody;
    private final VersionOutcomeReporter outcomeReporter;

    private Dispatcher(GatewayDependencies dependencies, EndpointAdmission admission) {
        this.activeRules = dependencies.activeRules();
        this.admission = checkNotNull(admission);
        this.client = dependencies.endpointClient();
        this.crashDetector = new CrashDetector(
                dependencies.crashLedger(),
                dependencies.endpointClient(),
                dependencies.wallClock(),
                dependencies.crashAnnouncer());
        this.retryPolicy = RetryPolicy.defaults();
        this.retryBudget = RetryBudget.create();
        this.connectRetryBudget = RetryBudget.of(CONNECT_RETRY_SHARE, MAX_CONNECT_RETRY_TOKENS);
        this.random = dependencies.random();
        this.scheduler = dependencies.scheduler();
        this.ticker = dependencies.ticker();
        this.metrics = dependencies.metrics();
        this.outcomeReporter = new VersionOutcomeReporter(dependencies.outcomeObserver());
        this.discardBody = response -> response.discardEntityBytes(dependencies.system());
    }

    /** Returns a dispatcher that reserves endpoint capacity through the given admission. */
    static Dispatcher create(GatewayDependencies dependencies, EndpointAdmission admission) {
        return new Dispatcher(dependencies, admission);
    }

    /**
     * Sends a request, with retries.
     *
     * @return the response; fails with a {@link RouterException} whose execution status covers all attempts
     */
    CompletionStage<EndpointResponse> dispatch(DispatchRequest request) {
        retryBudget.requestStarted();
        connectRetryBudget.requestStarted();
        return attempt(request, new AttemptHistory(RequestAttempts.create(request.idempotent(), 0), Optional.empty()));
    }

    /**
     * State carried over from earlier attempts of a request. Not used concurrently, because attempts run one at a time.
     */
    private record AttemptHistory(RequestAttempts attempts, Optional<String> avoidedFailureDomain) {
        AttemptHistory afterAttempt(EndpointReservation reservation, Execution execution) {
            attempts.attemptEnded(execution);
            return new AttemptHistory(
                    attempts, Optional.of(reservation.endpoint().failureDomain()));
        }
    }

    private CompletionStage<EndpointResponse> attempt(DispatchRequest request, AttemptHistory history) {
        try {
            return startAttempt(request, history);
        } catch (RouterException error) {
            return CompletableFuture.failedFuture(withExecution(error, history));
        }
    }

    private static RouterException withExecution(RouterException error, AttemptHistory history) {
        Execution execution = history.attempts().execution().combine(error.execution());
        return execution == error.execution() ? error : RouterException.of(error.code(), execution, error.getMessage());
    }

    private CompletionStage<EndpointResponse> startAttempt(DispatchRequest request, AttemptHistory history) {
        crashDetector.rejectPoisonRequest(request.bodyDigest());
        RulesSnapshot snapshot = requireActiveRules();
        Target target = request.targetResolver().apply(snapshot);
        EndpointCriteria criteria = new EndpointCriteria(
                request.prefixDigest(),
                remainingMillis(request),
                history.attempts().triedEndpoints(),
                history.avoidedFailureDomain());
        return admission
                .reserve(request.caller(), target, criteria, request.maxTokens())
                .handle((reservation, failure) -> failure == null
                        ? send(request, history, snapshot, target, reservation)
                        : CompletableFuture.<EndpointResponse>failedFuture(
                                withExecution(ProblemDetails.toRouterException(failure), history)))
                .thenCompose(Function.identity());
    }

    private RulesSnapshot requireActiveRules() {
        return activeRules
                .forNewRequests()
                .orElseThrow(() -> RouterException.notRun(
                        ErrorCode.CONFIG_STALE,
                        "this instance cannot confirm that its configuration is current",
                        RETRY_AFTER_MILLIS));
    }

    private long remainingMillis(DispatchRequest request) {
        long remainingMillis = request.caller().remainingMillis(ticker.read());
        if (remainingMillis <= 0) {
            throw RouterException.notRun(
                    ErrorCode.DEADLINE_UNREACHABLE, "the deadline passed before the request was sent");
        }
        return remainingMillis;
    }

    private CompletionStage<EndpointResponse> send(
            DispatchRequest request,
            AttemptHistory history,
            RulesSnapshot snapshot,
            Target target,
            EndpointReservation reservation) {
        EndpointCall call;
        try {
            if (requireActiveRules().number() != snapshot.number()) {
                reservation.cancelled();
                return attempt(request, history);
            }
            call = endpointCall(request, snapshot, target, reservation, remainingMillis(request));
            acquirePermit(request);
        } catch (RouterException error) {
            reservation.cancelled();
            return CompletableFuture.failedFuture(withExecution(error, history));
        }
        long sentNanos = ticker.read();
        history.attempts().attemptStarted(reservation.endpoint().name());
        return client.send(call)
                .thenCompose(result -> handleResult(
                        request,
                        history,
                        result,
                        response -> new EndpointResponse(
                                response,
                                reservation,
                                target,
                                snapshot.number(),
                                sentNanos,
                                request.caller().deadlineNanos(),
                                outcomeReporter),
                        new Attempt(reservation, target)));
    }

    private static EndpointCall endpointCall(
            DispatchRequest request,
            RulesSnapshot snapshot,
            Target target,
            EndpointReservation reservation,
            long remainingMillis) {
        HttpRequest httpRequest = target.requestFactory()
                .apply(reservation.endpoint())
                .addHeader(RawHeader.create(Headers.REQUEST_ID, request.caller().requestId()))
                .addHeader(RawHeader.create(Headers.FENCING, Long.toString(snapshot.number())));
        return new EndpointCall(
                reservation.endpoint().address(),
                httpRequest,
                request.idempotent(),
                Math.min(remainingMillis, request.maxAttemptMillis()));
    }

    private static void acquirePermit(DispatchRequest request) {
        if (!request.permit().tryAcquire()) {
            throw RouterException.notRun(
                    ErrorCode.DEADLINE_UNREACHABLE, "the deadline passed before the request was sent");
        }
    }

    /** The reserved capacity and the target of one attempt. */
    private record Attempt(EndpointReservation reservation, Target target) {}

    private CompletionStage<EndpointResponse> handleResult(
            DispatchRequest request,
            AttemptHistory history,
            EndpointResult result,
            Function<HttpResponse, EndpointResponse> toEndpointResponse,
            Attempt attempt) {
        if (result instanceof Failed failed) {
            return handleFailure(request, history, failed, attempt);
        }
        HttpResponse response = ((Answered) result).response();
        Optional<RouterException> error = findError(request, response, attempt.reservation());
        if (error.isEmpty()) {
            return CompletableFuture.completedFuture(toEndpointResponse.apply(response));
        }
        discardBody.accept(response);
        Optional<StatedPause> pause = pauseOf(response);
        pause.ifPresent(attempt.reservation()::pause);
        boolean busy = error.get().execution() == Execution.NOT_RUN || pause.isPresent();
        attempt.reservation().failed(busy ? FailureKind.BUSY : FailureKind.SERVER_ERROR);
        if (!busy) {
            outcomeReporter.reportFailure(attempt.target());
        }
        return retryOrFail(
                request,
                history.afterAttempt(attempt.reservation(), error.get().execution()),
                error.get(),
                retryBudget);
    }

    private Optional<RouterException> findError(
            DispatchRequest request, HttpResponse response, EndpointReservation reservation) {
        int status = response.status().intValue();
        String name = reservation.endpoint().name();
        if (!matchesRequestId(request, response)) {
            return Optional.of(RouterException.of(
                    ErrorCode.ENDPOINT_ANSWER_INVALID,
                    Execution.MAY_HAVE_RUN,
                    "endpoint " + name + " returned the response to a different request"));
        }
        if (status == STATUS_PRECONDITION_FAILED && reservation.endpoint().checksFencing()) {
            return Optional.of(RouterException.notRun(
                    ErrorCode.CONFIG_STALE,
                    "endpoint " + name + " has received a request under a newer configuration",
                    RETRY_AFTER_MILLIS));
        }
        if (status == STATUS_TOO_MANY_REQUESTS || (status == STATUS_UNAVAILABLE && request.idempotent())) {
            return Optional.of(RouterException.notRun(
                    ErrorCode.POOL_EXHAUSTED, "endpoint " + name + " is at capacity", RETRY_AFTER_MILLIS));
        }
        if (status >= STATUS_SERVER_ERROR) {
            return Optional.of(RouterException.of(
                    ErrorCode.ENDPOINT_FAILED,
                    Execution.MAY_HAVE_RUN,
                    "endpoint " + name + " responded with status " + status));
        }
        return Optional.empty();
    }

    /** Returns for how long an endpoint that rejected a request wants no others. */
    private Optional<StatedPause> pauseOf(HttpResponse response) {
        int status = response.status().intValue();
        if (status != STATUS_TOO_MANY_REQUESTS && status != STATUS_UNAVAILABLE) {
            return Optional.empty();
        }
        Optional<String> stated = response.getHeader(Headers.RETRY_AFTER).map(HttpHeader::value);
        Optional<StatedPause> pause = stated.flatMap(StatedPause::parse);
        stated.ifPresent(text -> metrics.count(pause.isPresent() ? "endpoints.pauses" : "endpoints.pauses_unreadable"));
        return pause;
    }

    private static boolean matchesRequestId(DispatchRequest request, HttpResponse response) {
        return response.getHeader(Headers.REQUEST_ID)
                .map(header -> header.value().equals(request.caller().requestId()))
                .orElse(true);
    }

    private CompletionStage<EndpointResponse> handleFailure(
            DispatchRequest request, AttemptHistory history, Failed failed, Attempt attempt) {
        EndpointReservation reservation = attempt.reservation();
        reservation.failed(failureKind(failed.kind()));
        if (failed.execution() != Execution.NOT_RUN) {
            outcomeReporter.reportFailure(attempt.target());
        }
        AttemptHistory updatedHistory = history.afterAttempt(reservation, failed.execution());
        ErrorCode code = failed.kind() == EndpointResult.Kind.TIMED_OUT
                ? ErrorCode.DEADLINE_EXCEEDED
                : ErrorCode.ENDPOINT_FAILED;
        RouterException error = RouterException.of(
                code, failed.execution(), "endpoint " + reservation.endpoint().name() + ": " + failed.reason());
        if (failed.kind() == EndpointResult.Kind.NOT_CONNECTED) {
            return retryOrFail(request, updatedHistory, error, connectRetryBudget);
        }
        if (failed.kind() == EndpointResult.Kind.TIMED_OUT) {
            return retryOrFail(request, updatedHistory, error, retryBudget);
        }
        return crashDetector
                .probeAfterConnectionLoss(request.bodyDigest(), reservation.endpoint())
                .thenCompose(unused -> retryOrFail(request, updatedHistory, error, retryBudget));
    }

    private static FailureKind failureKind(EndpointResult.Kind kind) {
        return switch (kind) {
            case NOT_CONNECTED -> FailureKind.CONNECT;
            case CONNECTION_LOST -> FailureKind.CONNECTION_LOST;
            case TIMED_OUT -> FailureKind.TIMEOUT;
        };
    }

    private CompletionStage<EndpointResponse> retryOrFail(
            DispatchRequest request, AttemptHistory history, RouterException error, RetryBudget budget) {
        if (error.execution() == Execution.NOT_RUN) {
            request.permit().release();
        }
        RetryContext context = history.attempts()
                .retryContext(error.execution(), request.caller().remainingMillis(ticker.read()), 0);
        RetryDecision decision = retryPolicy.decide(context, budget, random.get());
        if (decision instanceof Stop stop) {
            metrics.count("retry_stopped." + stop.reason().name().toLowerCase(Locale.ROOT));
            return CompletableFuture.failedFuture(withExecution(error, history));
        }
        metrics.countRetry(error.code().code());
        CompletableFuture<EndpointResponse> result = new CompletableFuture<>();
        scheduler.schedule(((Retry) decision).delayMillis(), () -> attempt(request, history)
                .whenComplete((endpointResponse, failure) -> {
                    if (failure == null) {
                        result.complete(endpointResponse);
                    } else {
                        result.completeExceptionally(failure);
                    }
                }));
        return result;
    }
}
