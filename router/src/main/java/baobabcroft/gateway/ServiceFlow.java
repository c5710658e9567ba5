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
 * Takes a call of a plain service's operation to an endpoint and its answer back.
 *
 * <p>An operation that may not be repeated goes through {@link ClaimedCalls}. Thread-safe.
 */
final class ServiceFlow {
    private static final long MAX_ANSWER_BYTES = 4L << 20;

    private final ActiveRules rulesInForce;
    private final Dispatcher dispatcher;
    private final ChargeRecorder charges;
    private final ClaimedCalls claimedCalls;
    private final AccountGate accountGate;
    private final Ticker ticker;
    private final ActorSystem<?> system;

    private ServiceFlow(
            GatewayDependencies parts, Dispatcher dispatcher, ClaimedCalls claimedCalls, AccountGate accountGate) {
        this.rulesInForce = parts.rulesInForce();
        this.dispatcher = checkNotNull(dispatcher);
        this.charges = parts.charges();
        this.claimedCalls = checkNotNull(claimedCalls);
        this.accountGate = checkNotNull(accountGate);
        this.ticker = parts.ticker();
        this.system = parts.system();
    }

    /** Returns a flow that sends through the given dispatcher. */
    static ServiceFlow create(
            GatewayDependencies parts, Dispatcher dispatcher, ClaimedCalls claimedCalls, AccountGate accountGate) {
        return new ServiceFlow(parts, dispatcher, claimedCalls, accountGate);
    }

    /** Returns the answer, or fails with the refusal. */
    CompletionStage<CallerAnswer> run(
            CallerRequest caller, String service, String operation, HttpRequest request, byte[] body) {
        RuleSet rules = rulesInForce
                .forNewRequests()
                .orElseThrow(() -> RouterException.notRun(
                        ErrorCode.CONFIG_STALE, "this instance is not certain of the configuration in force"))
                .rules();
        OperationRule rule = allowedOperation(caller, service, operation, rules);
        LimitReservation usage = accountGate.enter(caller, 0);
        CompletionStage<CallerAnswer> answer;
        try {
            answer = start(caller, rule, request, body);
        } catch (RouterException refusal) {
            usage.release(0);
            throw refusal;
        }
        return answer.whenComplete((unused, failure) -> usage.release(0));
    }

    private CompletionStage<CallerAnswer> start(
            CallerRequest caller, OperationRule rule, HttpRequest request, byte[] body) {
        String digest = digest(request, rule, body);
        if (rule.idempotent()) {
            charges.requireAvailable();
            return call(caller, rule, digest, request, body, SendPermit.ALWAYS)
                    .thenCompose(answer -> charges.record(charge(caller, rule, digest, answer))
                            .thenApply(unused -> new CallerAnswer(answer.response(), false)));
        }
        return claimedCalls.run(caller, rule, digest, permit -> call(caller, rule, digest, request, body, permit));
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

    private CompletionStage<OperationAnswer> call(
            CallerRequest caller,
            OperationRule rule,
            String digest,
            HttpRequest request,
            byte[] body,
            SendPermit permit) {
        HttpRequest forEndpoint = forEndpoint(caller, rule, request, body);
        Order order = new Order(
                caller,
                digest,
                rule.idempotent(),
                OptionalLong.empty(),
                OptionalLong.empty(),
                snapshot -> target(caller, rule, forEndpoint, snapshot),
                permit,
                rule.timeoutMillis());
        return dispatcher.dispatch(order).thenCompose(delivery -> read(caller, rule, delivery));
    }

    private static HttpRequest forEndpoint(CallerRequest caller, OperationRule rule, HttpRequest request, byte[] body) {
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

    private static Target target(
            CallerRequest caller, OperationRule planned, HttpRequest forEndpoint, RulesSnapshot snapshot) {
        OperationRule rule = allowedOperation(caller, planned.service(), planned.name(), snapshot.rules());
        if (rule.idempotent() != planned.idempotent()) {
            throw RouterException.notRun(
                    ErrorCode.CONFIG_STALE, "the rule of " + rule.fullName() + " has just changed; send again", 0);
        }
        return new Target(
                rule.fullName(),
                rule.priceMicros(),
                snapshot.rules().endpointsFor(rule.service()),
                endpoint -> forEndpoint);
    }

    private CompletionStage<OperationAnswer> read(CallerRequest caller, OperationRule rule, Delivery delivery) {
        long remainingMillis = Math.max(1, Math.min(rule.timeoutMillis(), caller.remainingMillis(ticker.read())));
        return delivery.readBody(MAX_ANSWER_BYTES, remainingMillis, system).thenApply(bytes -> answer(delivery, bytes));
    }

    private OperationAnswer answer(Delivery delivery, ByteString bytes) {
        delivery.succeeded(ticker, 0);
        ContentType type = delivery.response().entity().getContentType();
        HttpResponse response = HttpResponse.create()
                .withStatus(delivery.response().status())
                .withEntity(HttpEntities.create(type, bytes));
        return new OperationAnswer(
                delivery.withProvenance(response), bytes, delivery.target().priceMicros());
    }

    private static Charge charge(CallerRequest caller, OperationRule rule, String digest, OperationAnswer answer) {
        return new Charge(
                caller.account().name(),
                caller.billingId(digest),
                rule.fullName(),
                0,
                answer.isSuccess() ? answer.priceMicros() : 0,
                true);
    }
}
