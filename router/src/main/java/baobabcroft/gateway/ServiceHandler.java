package baobabcroft.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.common.ErrorCode;
import baobabcroft.common.RouterException;
import baobabcroft.limit.LimitReservation;
import baobabcroft.rules.OperationRule;
import baobabcroft.rules.RuleSet;
import com.google.common.base.Ticker;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.Uri;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.util.ByteString;

/**
 * Handles calls of plain services: sends each call to an endpoint and returns the response.
 *
 * <p>Calls of non-idempotent operations run through {@link ClaimedCallExecutor}. Thread-safe.
 */
final class ServiceHandler {
    private static final long MAX_RESPONSE_BYTES = 4L << 20;

    private final ActiveRules activeRules;
    private final Dispatcher dispatcher;
    private final ChargeRecorder chargeRecorder;
    private final ClaimedCallExecutor claimedCallExecutor;
    private final AccountLimiter accountLimiter;
    private final Ticker ticker;
    private final ActorSystem<?> system;

    private ServiceHandler(
            GatewayDependencies dependencies,
            Dispatcher dispatcher,
            ClaimedCallExecutor claimedCallExecutor,
            AccountLimiter accountLimiter) {
        this.activeRules = dependencies.activeRules();
        this.dispatcher = checkNotNull(dispatcher);
        this.chargeRecorder = dependencies.chargeRecorder();
        this.claimedCallExecutor = checkNotNull(claimedCallExecutor);
        this.accountLimiter = checkNotNull(accountLimiter);
        this.ticker = dependencies.ticker();
        this.system = dependencies.system();
    }

    /** Returns a handler that sends calls through the given dispatcher. */
    static ServiceHandler create(
            GatewayDependencies dependencies,
            Dispatcher dispatcher,
            ClaimedCallExecutor claimedCallExecutor,
            AccountLimiter accountLimiter) {
        return new ServiceHandler(dependencies, dispatcher, claimedCallExecutor, accountLimiter);
    }

    /** Returns the response, or fails or throws with a {@link RouterException}. */
    CompletionStage<CallerResponse> handle(
            CallerRequest caller, String service, String operation, HttpRequest request, byte[] body) {
        RuleSet rules = activeRules
                .forNewRequests()
                .orElseThrow(() -> RouterException.notRun(
                        ErrorCode.CONFIG_STALE, "this instance cannot confirm that its configuration is current"))
                .rules();
        OperationRule rule = allowedOperation(caller, service, operation, rules);
        LimitReservation reservation = accountLimiter.admit(caller, 0);
        CompletionStage<CallerResponse> response;
        try {
            response = execute(caller, rule, request, body);
        } catch (RouterException error) {
            reservation.release(0);
            throw error;
        }
        return response.whenComplete((unused, failure) -> reservation.release(0));
    }

    private CompletionStage<CallerResponse> execute(
            CallerRequest caller, OperationRule rule, HttpRequest request, byte[] body) {
        String digest = digest(request, rule, body);
        if (rule.idempotent()) {
            chargeRecorder.requireAvailable();
            return call(caller, rule, digest, request, body, SendPermit.ALWAYS)
                    .thenCompose(operationResponse -> chargeRecorder
                            .record(charge(caller, rule, digest, operationResponse))
                            .thenApply(unused -> new CallerResponse(operationResponse.response(), false)));
        }
        return claimedCallExecutor.run(
                caller, rule, digest, permit -> call(caller, rule, digest, request, body, permit));
    }

    private static OperationRule allowedOperation(
            CallerRequest caller, String service, String operation, RuleSet rules) {
        OperationRule rule = rules.operation(service, operation)
                .orElseThrow(() -> RouterException.notRun(
                        ErrorCode.UNKNOWN_OPERATION, "no operation is named '" + service + "/" + operation + "'"));
        if (!caller.account().allows(rule)) {
            throw RouterException.notRun(
                    ErrorCode.NOT_ALLOWED, "account " + caller.account().name() + " may not use " + rule.fullName());
        }
        return rule;
    }

    private static String digest(HttpRequest request, OperationRule rule, byte[] body) {
        Hasher hasher = Hashing.sha256().newHasher();
        hasher.putUnencodedChars(request.method().value()).putChar('\n');
        hasher.putUnencodedChars(rule.fullName()).putChar('\n');
        hasher.putUnencodedChars(request.getUri().rawQueryString().orElse("")).putChar('\n');
        return hasher.putBytes(body).hash().toString();
    }

    private CompletionStage<OperationResponse> call(
            CallerRequest caller,
            OperationRule rule,
            String digest,
            HttpRequest request,
            byte[] body,
            SendPermit permit) {
        HttpRequest endpointRequest = endpointRequest(caller, rule, request, body);
        DispatchRequest dispatchRequest = new DispatchRequest(
                caller,
                digest,
                rule.idempotent(),
                OptionalLong.empty(),
                OptionalLong.empty(),
                snapshot -> resolveTarget(caller, rule, endpointRequest, snapshot),
                permit,
                rule.timeoutMillis());
        return dispatcher
                .dispatch(dispatchRequest)
                .thenCompose(endpointResponse -> readResponse(caller, rule, endpointResponse));
    }

    private static HttpRequest endpointRequest(
            CallerRequest caller, OperationRule rule, HttpRequest request, byte[] body) {
        String query = request.getUri().rawQueryString().map(text -> "?" + text).orElse("");
        HttpRequest copy = HttpRequest.create()
                .withMethod(request.method())
                .withUri(Uri.create("/" + rule.name() + query))
                .withEntity(HttpEntities.create(request.entity().getContentType(), body));
        return caller.idempotencyKey()
                .map(key -> copy.addHeader(RawHeader.create(
                        Headers.IDEMPOTENCY_KEY, caller.account().name() + ":" + key)))
                .orElse(copy);
    }

    private static Target resolveTarget(
            CallerRequest caller, OperationRule initialRule, HttpRequest endpointRequest, RulesSnapshot snapshot) {
        OperationRule rule = allowedOperation(caller, initialRule.service(), initialRule.name(), snapshot.rules());
        if (rule.idempotent() != initialRule.idempotent()) {
            throw RouterException.notRun(
                    ErrorCode.CONFIG_STALE,
                    "the rule of " + rule.fullName() + " changed during the request; retry the request",
                    0);
        }
        return new Target(
                rule.fullName(),
                rule.priceMicros(),
                snapshot.rules().endpointsFor(rule.service()),
                endpoint -> endpointRequest);
    }

    private CompletionStage<OperationResponse> readResponse(
            CallerRequest caller, OperationRule rule, EndpointResponse endpointResponse) {
        long remainingMillis = Math.max(1, Math.min(rule.timeoutMillis(), caller.remainingMillis(ticker.read())));
        return endpointResponse
                .readBody(MAX_RESPONSE_BYTES, remainingMillis, system)
                .thenApply(bytes -> toOperationResponse(endpointResponse, bytes));
    }

    private OperationResponse toOperationResponse(EndpointResponse endpointResponse, ByteString bytes) {
        endpointResponse.reportSuccess(ticker, 0);
        ContentType type = endpointResponse.response().entity().getContentType();
        HttpResponse response = HttpResponse.create()
                .withStatus(endpointResponse.response().status())
                .withEntity(HttpEntities.create(type, bytes));
        return new OperationResponse(
                endpointResponse.withProvenance(response),
                bytes,
                endpointResponse.target().priceMicros());
    }

    private static Charge charge(CallerRequest caller, OperationRule rule, String digest, OperationResponse response) {
        return new Charge(
                caller.account().name(),
                caller.billingId(digest),
                rule.fullName(),
                0,
                response.isSuccess() ? response.priceMicros() : 0,
                true);
    }
}
