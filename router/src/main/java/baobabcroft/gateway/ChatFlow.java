package baobabcroft.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.balance.FailureKind;
import baobabcroft.chat.ChatAnswer;
import baobabcroft.chat.ChatBody;
import baobabcroft.chat.SseRelay;
import baobabcroft.common.ErrorCode;
import baobabcroft.common.Execution;
import baobabcroft.common.RouterException;
import baobabcroft.limit.AccountUsage;
import baobabcroft.rules.RuleSet;
import baobabcroft.rules.VersionId;
import baobabcroft.rules.VersionRule;
import com.google.common.base.Ticker;
import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/** Takes a chat request to an engine and its answer, whole or streamed, back to the caller. Thread-safe. */
final class ChatFlow {
    private static final String ENGINE_PATH = "/v1/chat/completions";
    private static final long MAX_ANSWER_BYTES = 8L << 20;
    private static final long DEFAULT_TOKENS = 256;
    private static final int STATUS_OK = 200;

    private final RulesInForce rulesInForce;
    private final ModelTargets targets;
    private final SessionVersions sessions;
    private final Dispatcher dispatcher;
    private final Charges charges;
    private final AccountGate accountGate;
    private final Ticker ticker;
    private final ActorSystem<?> system;

    private ChatFlow(GatewayParts parts, Dispatcher dispatcher, AccountGate accountGate) {
        this.rulesInForce = parts.rulesInForce();
        this.targets = new ModelTargets(parts.versionChooser());
        this.sessions = parts.sessions();
        this.dispatcher = checkNotNull(dispatcher);
        this.charges = parts.charges();
        this.accountGate = checkNotNull(accountGate);
        this.ticker = parts.ticker();
        this.system = parts.system();
    }

    /** Returns a flow that sends through the given dispatcher. */
    static ChatFlow create(GatewayParts parts, Dispatcher dispatcher, AccountGate accountGate) {
        return new ChatFlow(parts, dispatcher, accountGate);
    }

    /** Returns the answer, or fails with the refusal. */
    CompletionStage<CallerAnswer> run(CallerRequest caller, byte[] bytes) {
        ChatBody body = ChatBody.parse(bytes);
        charges.requireAvailable();
        RuleSet rules = rulesInForce
                .forNewWork()
                .orElseThrow(() -> RouterException.notRun(
                        ErrorCode.CONFIG_STALE, "this instance is not certain of the configuration in force"))
                .rules();
        ImmutableList<String> models = targets.models(body.model(), caller.account(), rules);
        AccountUsage usage = accountGate.enter(caller, body.expectedTokens(DEFAULT_TOKENS));
        ChatRun run = new ChatRun(caller, body, usage);
        return runOn(run, models.get(0), rules).whenComplete((answer, failure) -> {
            if (failure != null) {
                usage.ended(0);
            }
        });
    }

    private CompletionStage<CallerAnswer> runOn(ChatRun run, String model, RuleSet rules) {
        Optional<VersionId> explicit = VersionId.parse(run.body().model());
        return keptVersion(run.caller(), model, explicit, rules)
                .thenCompose(kept -> dispatcher.dispatch(order(run, model, explicit, kept)))
                .thenCompose(delivery -> answer(run, delivery));
    }

    private CompletionStage<Optional<VersionId>> keptVersion(
            CallerRequest caller, String model, Optional<VersionId> explicit, RuleSet rules) {
        if (caller.session().isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        return sessions.versionOf(
                        caller.account().name(),
                        caller.session().get(),
                        model,
                        () -> explicit.map(id -> targets.explicit(id, caller.account(), rules)
                                        .id())
                                .orElseGet(
                                        () -> targets.choose(model, caller.assignmentKey(), caller.account(), rules)),
                        rules.versionsOf(model).size() == 1)
                .thenApply(kept -> Optional.of(requireSame(kept, explicit)));
    }

    private static VersionId requireSame(VersionId kept, Optional<VersionId> explicit) {
        if (explicit.isPresent() && !explicit.get().equals(kept)) {
            throw RouterException.notRun(
                    ErrorCode.NOT_ALLOWED,
                    "the session keeps version " + kept + " and cannot run on " + explicit.get());
        }
        return kept;
    }

    private Order order(ChatRun run, String model, Optional<VersionId> explicit, Optional<VersionId> kept) {
        return new Order(
                run.caller(),
                run.body().digest(),
                true,
                OptionalLong.of(run.body().prefixDigest()),
                snapshot -> target(run, model, explicit, kept, snapshot),
                SendPermit.ALWAYS,
                Long.MAX_VALUE);
    }

    private Target target(
            ChatRun run, String model, Optional<VersionId> explicit, Optional<VersionId> kept, RulesSnapshot snapshot) {
        RuleSet rules = snapshot.rules();
        VersionRule version;
        if (kept.isPresent()) {
            version = targets.usable(kept.get(), run.caller().account(), rules);
        } else if (explicit.isPresent()) {
            version = targets.explicit(explicit.get(), run.caller().account(), rules);
        } else {
            VersionId chosen = targets.choose(
                    model, run.caller().assignmentKey(), run.caller().account(), rules);
            version = targets.usable(chosen, run.caller().account(), rules);
        }
        String name = version.id().toString();
        HttpRequest request = HttpRequest.POST(ENGINE_PATH)
                .withEntity(HttpEntities.create(
                        ContentTypes.APPLICATION_JSON,
                        ByteString.fromArray(run.body().forEngine(name))));
        return new Target(
                name, version.priceMicrosPerThousandTokens(), rules.endpointsFor(version.id()), endpoint -> request);
    }

    private CompletionStage<CallerAnswer> answer(ChatRun run, Delivery delivery) {
        if (delivery.response().status().intValue() != STATUS_OK) {
            return relayRefusalOfEngine(run, delivery);
        }
        return run.body().stream() ? CompletableFuture.completedFuture(streamed(run, delivery)) : whole(run, delivery);
    }

    private CompletionStage<CallerAnswer> relayRefusalOfEngine(ChatRun run, Delivery delivery) {
        return read(run, delivery).thenApply(bytes -> {
            delivery.succeeded(ticker);
            run.usage().ended(0);
            HttpResponse response = HttpResponse.create()
                    .withStatus(delivery.response().status())
                    .withEntity(HttpEntities.create(delivery.response().entity().getContentType(), bytes));
            return new CallerAnswer(withProvenance(response, delivery), false);
        });
    }

    private CompletionStage<CallerAnswer> whole(ChatRun run, Delivery delivery) {
        return read(run, delivery).thenCompose(bytes -> {
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
            delivery.succeeded(ticker);
            run.usage().ended(parsed.get().completionTokens());
            HttpResponse response = HttpResponse.create()
                    .withStatus(StatusCodes.OK)
                    .withEntity(HttpEntities.create(ContentTypes.APPLICATION_JSON, bytes));
            return charges.record(charge(run, delivery, parsed.get().completionTokens(), true))
                    .thenApply(unused -> new CallerAnswer(withProvenance(response, delivery), false));
        });
    }

    private CompletionStage<ByteString> read(ChatRun run, Delivery delivery) {
        long remainingMillis = Math.max(1, run.caller().remainingMillis(ticker.read()));
        return Entities.read(delivery.response().entity(), MAX_ANSWER_BYTES, remainingMillis, system)
                .handle((bytes, failure) -> {
                    if (failure == null) {
                        return bytes;
                    }
                    delivery.failed(FailureKind.INVALID_ANSWER);
                    throw RouterException.of(
                            ErrorCode.ENDPOINT_ANSWER_INVALID,
                            Execution.MAY_HAVE_RUN,
                            "the endpoint's answer broke off: " + failure.getMessage());
                });
    }

    private CallerAnswer streamed(ChatRun run, Delivery delivery) {
        long remainingMillis = Math.max(1, run.caller().remainingMillis(ticker.read()));
        ChatStreamEnd end = new ChatStreamEnd(
                delivery, charges, run.usage(), (tokens, whole) -> charge(run, delivery, tokens, whole), ticker);
        Source<ByteString, ?> relayed = delivery.response()
                .entity()
                .getDataBytes()
                .completionTimeout(Duration.ofMillis(remainingMillis))
                .via(SseRelay.create(
                        delivery.target().name(),
                        run.body().choices(),
                        run.body().wantsUsage(),
                        end));
        HttpResponse response = HttpResponse.create()
                .withStatus(StatusCodes.OK)
                .withEntity(HttpEntities.create(delivery.response().entity().getContentType(), relayed));
        return new CallerAnswer(withProvenance(response, delivery), true);
    }

    private Charge charge(ChatRun run, Delivery delivery, long tokens, boolean whole) {
        return new Charge(
                run.caller().account().name(),
                run.caller().billingId(run.body().digest()),
                delivery.target().name(),
                tokens,
                Charge.priceMicros(tokens, delivery.target().priceMicros()),
                whole);
    }

    private static HttpResponse withProvenance(HttpResponse response, Delivery delivery) {
        String name = delivery.target().name();
        String model = VersionId.parse(name).map(VersionId::model).orElse(name);
        return response.addHeader(RawHeader.create(Headers.MODEL, model))
                .addHeader(RawHeader.create(Headers.VERSION, name))
                .addHeader(RawHeader.create(
                        Headers.ENDPOINT, delivery.room().endpoint().name()))
                .addHeader(RawHeader.create(Headers.CONFIG_VERSION, Long.toString(delivery.configNumber())));
    }
}
