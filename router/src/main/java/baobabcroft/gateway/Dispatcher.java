package baobabcroft.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.balance.EndpointCriteria;
import baobabcroft.balance.FailureKind;
import baobabcroft.common.ErrorCode;
import baobabcroft.common.Execution;
import baobabcroft.common.RouterException;
import baobabcroft.common.Scheduler;
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
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;

/**
 * Sends requests to endpoints and retries those that may be sent again.
 *
 * <p>Right before every send it asks again for the rules in force and finds the target under them, so that an instance
 * that was frozen, or a version that was withdrawn meanwhile, sends nothing. A request whose connection was refused
 * goes to another endpoint on a budget of its own, since it has cost no endpoint anything. Thread-safe.
 */
final class Dispatcher {
    private static final long RETRY_AFTER_MILLIS = 1_000;
    private static final double REROUTE_SHARE = 1.0;
    private static final double MAX_SAVED_REROUTES = 100;
    private static final int STATUS_PRECONDITION_FAILED = 412;
    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final int STATUS_SERVER_ERROR = 500;
    private static final int STATUS_UNAVAILABLE = 503;

    private final ActiveRules rulesInForce;
    private final Rooms rooms;
    private final EndpointClient client;
    private final CrashWatch crashWatch;
    private final RetryPolicy retryPolicy;
    private final RetryBudget retryBudget;
    private final RetryBudget rerouteBudget;
    private final Supplier<UniformRandomProvider> random;
    private final Scheduler scheduler;
    private final Ticker ticker;
    private final RouterMetrics metrics;
    private final Consumer<HttpResponse> discard;
    private final VersionOutcomes outcomes;

    private Dispatcher(GatewayDependencies parts, Rooms rooms) {
        this.rulesInForce = parts.rulesInForce();
        this.rooms = checkNotNull(rooms);
        this.client = parts.endpointClient();
        this.crashWatch =
                new CrashWatch(parts.crashes(), parts.endpointClient(), parts.wallClock(), parts.announceCrash());
        this.retryPolicy = RetryPolicy.defaults();
        this.retryBudget = RetryBudget.create();
        this.rerouteBudget = RetryBudget.of(REROUTE_SHARE, MAX_SAVED_REROUTES);
        this.random = parts.random();
        this.scheduler = parts.scheduler();
        this.ticker = parts.ticker();
        this.metrics = parts.metrics();
        this.outcomes = new VersionOutcomes(parts.observeAnswer());
        this.discard = response -> response.discardEntityBytes(parts.system());
    }

    /** Returns a dispatcher that finds room through the given rooms. */
    static Dispatcher create(GatewayDependencies parts, Rooms rooms) {
        return new Dispatcher(parts, rooms);
    }

    /** Returns the answer of the endpoint that took the request, or fails with the refusal and its verdict. */
    CompletionStage<Delivery> dispatch(Order order) {
        retryBudget.requestStarted();
        rerouteBudget.requestStarted();
        return attempt(order, new Progress(RequestAttempts.create(order.repeatable(), 0), Optional.empty()));
    }

    /** What earlier attempts of a request have left behind. Its stages run one after the other. */
    private record Progress(RequestAttempts sends, Optional<String> avoidedFailureDomain) {
        Progress after(Room room, Execution verdict) {
            sends.attemptEnded(verdict);
            return new Progress(sends, Optional.of(room.endpoint().failureDomain()));
        }
    }

    private CompletionStage<Delivery> attempt(Order order, Progress progress) {
        try {
            return attemptOnce(order, progress);
        } catch (RouterException refusal) {
            return CompletableFuture.failedFuture(withVerdict(refusal, progress));
        }
    }

    private static RouterException withVerdict(RouterException refusal, Progress progress) {
        Execution verdict = progress.sends().execution().and(refusal.execution());
        return verdict == refusal.execution()
                ? refusal
                : RouterException.of(refusal.code(), verdict, refusal.getMessage());
    }

    private CompletionStage<Delivery> attemptOnce(Order order, Progress progress) {
        crashWatch.refusePoison(order.bodyDigest());
        RulesSnapshot planned = freshRules();
        Target target = order.target().apply(planned);
        EndpointCriteria facts = new EndpointCriteria(
                order.prefixDigest(),
                remainingMillis(order),
                progress.sends().triedEndpoints(),
                progress.avoidedFailureDomain());
        return rooms.enter(order.caller(), target, facts, order.tokenBound())
                .handle((room, failure) -> failure == null
                        ? send(order, progress, planned, target, room)
                        : CompletableFuture.<Delivery>failedFuture(withVerdict(Problems.toRefusal(failure), progress)))
                .thenCompose(Function.identity());
    }

    private RulesSnapshot freshRules() {
        return rulesInForce
                .forNewRequests()
                .orElseThrow(() -> RouterException.notRun(
                        ErrorCode.CONFIG_STALE,
                        "this instance is not certain of the configuration in force",
                        RETRY_AFTER_MILLIS));
    }

    private long remainingMillis(Order order) {
        long remainingMillis = order.caller().remainingMillis(ticker.read());
        if (remainingMillis <= 0) {
            throw RouterException.notRun(ErrorCode.DEADLINE_UNREACHABLE, "the deadline passed before the send");
        }
        return remainingMillis;
    }

    private CompletionStage<Delivery> send(
            Order order, Progress progress, RulesSnapshot planned, Target target, Room room) {
        EndpointCall call;
        try {
            if (freshRules().number() != planned.number()) {
                room.cancelled();
                return attempt(order, progress);
            }
            call = call(order, planned, target, room, remainingMillis(order));
            takePermit(order);
        } catch (RouterException refusal) {
            room.cancelled();
            return CompletableFuture.failedFuture(withVerdict(refusal, progress));
        }
        long sentNanos = ticker.read();
        progress.sends().attemptStarted(room.endpoint().name());
        return client.send(call)
                .thenCompose(reply -> evaluate(
                        order,
                        progress,
                        reply,
                        response -> new Delivery(
                                response,
                                room,
                                target,
                                planned.number(),
                                sentNanos,
                                order.caller().deadlineNanos(),
                                outcomes),
                        new Attempted(room, target)));
    }

    private static EndpointCall call(
            Order order, RulesSnapshot planned, Target target, Room room, long remainingMillis) {
        HttpRequest request = target.request()
                .apply(room.endpoint())
                .addHeader(RawHeader.create(Headers.REQUEST_ID, order.caller().requestId()))
                .addHeader(RawHeader.create(Headers.FENCING, Long.toString(planned.number())));
        return new EndpointCall(
                room.endpoint().address(),
                request,
                order.repeatable(),
                Math.min(remainingMillis, order.maxAttemptMillis()));
    }

    private static void takePermit(Order order) {
        if (!order.permit().take()) {
            throw RouterException.notRun(ErrorCode.DEADLINE_UNREACHABLE, "the deadline passed before the send");
        }
    }

    /** Where an attempt went. */
    private record Attempted(Room room, Target target) {}

    private CompletionStage<Delivery> evaluate(
            Order order,
            Progress progress,
            EndpointResult reply,
            Function<HttpResponse, Delivery> delivery,
            Attempted attempted) {
        if (reply instanceof Failed failed) {
            return failed(order, progress, failed, attempted);
        }
        HttpResponse response = ((Answered) reply).response();
        Optional<RouterException> refusal = refusalOf(order, response, attempted.room());
        if (refusal.isEmpty()) {
            return CompletableFuture.completedFuture(delivery.apply(response));
        }
        discard.accept(response);
        boolean busy = refusal.get().execution() == Execution.NOT_RUN;
        attempted.room().failed(busy ? FailureKind.BUSY : FailureKind.SERVER_ERROR);
        if (!busy) {
            outcomes.failed(attempted.target());
        }
        return retryOrFail(
                order, progress.after(attempted.room(), refusal.get().execution()), refusal.get(), retryBudget);
    }

    private Optional<RouterException> refusalOf(Order order, HttpResponse response, Room room) {
        int status = response.status().intValue();
        String name = room.endpoint().name();
        if (!isOwnAnswer(order, response)) {
            return Optional.of(RouterException.of(
                    ErrorCode.ENDPOINT_ANSWER_INVALID,
                    Execution.MAY_HAVE_RUN,
                    "endpoint " + name + " returned the answer to another request"));
        }
        if (status == STATUS_PRECONDITION_FAILED && room.endpoint().checksFencing()) {
            return Optional.of(RouterException.notRun(
                    ErrorCode.CONFIG_STALE,
                    "endpoint " + name + " has seen a later configuration",
                    RETRY_AFTER_MILLIS));
        }
        if (status == STATUS_TOO_MANY_REQUESTS || (status == STATUS_UNAVAILABLE && order.repeatable())) {
            return Optional.of(RouterException.notRun(
                    ErrorCode.POOL_EXHAUSTED, "endpoint " + name + " is full", RETRY_AFTER_MILLIS));
        }
        if (status >= STATUS_SERVER_ERROR) {
            return Optional.of(RouterException.of(
                    ErrorCode.ENDPOINT_FAILED,
                    Execution.MAY_HAVE_RUN,
                    "endpoint " + name + " answered with status " + status));
        }
        return Optional.empty();
    }

    private static boolean isOwnAnswer(Order order, HttpResponse response) {
        return response.getHeader(Headers.REQUEST_ID)
                .map(header -> header.value().equals(order.caller().requestId()))
                .orElse(true);
    }

    private CompletionStage<Delivery> failed(Order order, Progress progress, Failed failed, Attempted attempted) {
        Room room = attempted.room();
        room.failed(failureKind(failed.kind()));
        if (failed.execution() != Execution.NOT_RUN) {
            outcomes.failed(attempted.target());
        }
        Progress after = progress.after(room, failed.execution());
        ErrorCode code = failed.kind() == EndpointResult.Kind.TIMED_OUT
                ? ErrorCode.DEADLINE_EXCEEDED
                : ErrorCode.ENDPOINT_FAILED;
        RouterException refusal = RouterException.of(
                code, failed.execution(), "endpoint " + room.endpoint().name() + ": " + failed.reason());
        if (failed.kind() == EndpointResult.Kind.NOT_CONNECTED) {
            return retryOrFail(order, after, refusal, rerouteBudget);
        }
        if (failed.kind() == EndpointResult.Kind.TIMED_OUT) {
            return retryOrFail(order, after, refusal, retryBudget);
        }
        return crashWatch
                .connectionLost(order.bodyDigest(), room.endpoint())
                .thenCompose(unused -> retryOrFail(order, after, refusal, retryBudget));
    }

    private static FailureKind failureKind(EndpointResult.Kind kind) {
        return switch (kind) {
            case NOT_CONNECTED -> FailureKind.CONNECT;
            case CONNECTION_LOST -> FailureKind.CONNECTION_LOST;
            case TIMED_OUT -> FailureKind.TIMEOUT;
        };
    }

    private CompletionStage<Delivery> retryOrFail(
            Order order, Progress progress, RouterException refusal, RetryBudget budget) {
        if (refusal.execution() == Execution.NOT_RUN) {
            order.permit().giveBack();
        }
        RetryContext facts = progress.sends()
                .retryContext(refusal.execution(), order.caller().remainingMillis(ticker.read()), 0);
        RetryDecision decision = retryPolicy.decide(facts, budget, random.get());
        if (decision instanceof Stop stop) {
            metrics.count("retry_stopped." + stop.reason().name().toLowerCase(Locale.ROOT));
            return CompletableFuture.failedFuture(withVerdict(refusal, progress));
        }
        metrics.countRetry(refusal.code().code());
        CompletableFuture<Delivery> result = new CompletableFuture<>();
        scheduler.schedule(
                ((Retry) decision).delayMillis(), () -> attempt(order, progress).whenComplete((delivery, failure) -> {
                    if (failure == null) {
                        result.complete(delivery);
                    } else {
                        result.completeExceptionally(failure);
                    }
                }));
        return result;
    }
}
