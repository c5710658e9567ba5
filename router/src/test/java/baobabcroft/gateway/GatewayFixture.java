package baobabcroft.gateway;

import baobabcroft.balance.BreakerSettings;
import baobabcroft.balance.EndpointPickers;
import baobabcroft.balance.EndpointPool;
import baobabcroft.cascade.CascadePolicies;
import baobabcroft.cascade.QualityLedger;
import baobabcroft.cascade.RatingBudget;
import baobabcroft.claim.ClaimService;
import baobabcroft.claim.ClaimSettings;
import baobabcroft.endpoint.EndpointCall;
import baobabcroft.endpoint.EndpointResult;
import baobabcroft.fake.FakeStore;
import baobabcroft.fake.FakeStoreClient;
import baobabcroft.fake.VirtualTime;
import baobabcroft.limit.AccountLimits;
import baobabcroft.metrics.RouterMetrics;
import baobabcroft.poison.CrashLedger;
import baobabcroft.rollout.VersionAssignment;
import baobabcroft.rules.ParsedRules;
import baobabcroft.rules.RuleSet;
import baobabcroft.rules.RulesParser;
import baobabcroft.rules.VersionId;
import baobabcroft.slot.SlotLog;
import baobabcroft.slot.SlotLogContext;
import baobabcroft.slot.SlotLogSettings;
import com.codahale.metrics.MetricRegistry;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;

/** A gateway with scripted endpoints, a fake store and virtual time. */
final class GatewayFixture {
    static final String VERSION = "film@1";
    static final long MAX_PAUSE_MILLIS = 30_000;

    final VirtualTime time = new VirtualTime();
    final FakeStore store = new FakeStore(time);
    final FakeStoreClient storeClient = store.connect();
    final List<EndpointCall> sentCalls = new ArrayList<>();
    final Deque<Function<EndpointCall, EndpointResult>> scriptedResults = new ArrayDeque<>();
    final List<Charge> recordedCharges = new ArrayList<>();
    final InFlightLimiter inFlightLimiter = InFlightLimiter.create(100);
    final RouterMetrics metrics = RouterMetrics.create();
    Optional<RulesSnapshot> currentRules;
    Runnable beforeEachRulesLookup = () -> {};

    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(7L);
    private final EndpointPool pool = EndpointPool.create(
            "a1", BreakerSettings.defaults().withMaxPauseMillis(MAX_PAUSE_MILLIS), time.ticker(), random);
    private final GatewayServer gateway;
    private long requestCount;

    GatewayFixture(ActorSystem<?> system) {
        applyRules(1, "open");
        gateway = GatewayServer.create(dependencies(system));
    }

    /** Applies rules in which the model's only version has the given state. */
    void applyRules(long number, String versionState) {
        RuleSet rules = rules(versionState);
        pool.applyRules(rules);
        currentRules = Optional.of(new RulesSnapshot(number, rules));
    }

    private static RuleSet rules(String versionState) {
        String share = versionState.equals("open") ? "share=100 " : "";
        String text = String.join(
                "\n",
                "failure-domain a1 region=a # ana: test",
                "account shop key-sha256=" + sha256("shop-key") + " allow=film,ledger # ana: test",
                "account guest key-sha256=" + sha256("guest-key") + " allow=ledger/stock # ana: test",
                "version film@1 state=" + versionState + " " + share + "price=0.002 quality=0.9 # ana: test",
                "operation ledger/order idempotent=no price=1 timeout=5s # ana: test",
                "operation ledger/stock idempotent=yes price=0 timeout=5s # ana: test",
                "endpoint e1 address=127.0.0.1:1 failure-domain=a1 versions=film@1 max-concurrent=4 # ana: test",
                "endpoint e2 address=127.0.0.1:2 failure-domain=a1 versions=film@1 max-concurrent=4 # ana: test",
                "endpoint l1 address=127.0.0.1:3 failure-domain=a1 service=ledger max-concurrent=4 # ana: test",
                "endpoint l2 address=127.0.0.1:4 failure-domain=a1 service=ledger max-concurrent=4 # ana: test",
                "");
        ParsedRules parsed = RulesParser.parse(text);
        if (parsed instanceof ParsedRules.Valid valid) {
            return valid.rules();
        }
        throw new IllegalStateException(parsed.toString());
    }

    private static String sha256(String key) {
        return Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
    }

    private GatewayDependencies dependencies(ActorSystem<?> system) {
        return new GatewayDependencies(
                () -> {
                    beforeEachRulesLookup.run();
                    return currentRules;
                },
                (version, outcome) -> {},
                (open, key) -> VersionAssignment.assign(key, open, version -> false),
                new CascadeEvaluator(
                        CascadePolicies.fixed(0),
                        QualityLedger.create("self"),
                        RatingBudget.create(0, 1, time.ticker()),
                        Optional.empty(),
                        (version, rating) -> {},
                        () -> random,
                        metrics),
                (account, session, model, choice, only) -> CompletableFuture.completedFuture(choice.get()),
                chargeRecorder(),
                claimService(),
                instance -> false,
                AccountLimits.create("self"),
                pool,
                EndpointPickers.roundRobin(),
                this::send,
                CrashLedger.create(60_000, 100),
                crash -> {},
                inFlightLimiter,
                metrics,
                new GatewayDependencies.RequestLimits(10_000, 1_000, 10_000),
                () -> random,
                () -> "request-" + ++requestCount,
                time.scheduler(),
                time.ticker(),
                time.wallClock(),
                system);
    }

    private ChargeRecorder chargeRecorder() {
        return new ChargeRecorder() {
            @Override
            public void requireAvailable() {}

            @Override
            public CompletionStage<Void> record(Charge charge) {
                recordedCharges.add(charge);
                return CompletableFuture.completedFuture(null);
            }
        };
    }

    private ClaimService claimService() {
        SlotLogContext context = new SlotLogContext(
                storeClient,
                time.scheduler(),
                Runnable::run,
                time.ticker(),
                time.wallClock(),
                random::nextLong,
                new MetricRegistry());
        return ClaimService.create(
                SlotLog.create(context, SlotLogSettings.defaults()),
                "self",
                ClaimSettings.defaults(),
                time.scheduler(),
                time.wallClock(),
                random::nextLong);
    }

    private CompletionStage<EndpointResult> send(EndpointCall call) {
        if (call.request().getUri().path().equals("/healthz")) {
            return CompletableFuture.completedFuture(new EndpointResult.Answered(HttpResponse.create()));
        }
        sentCalls.add(call);
        return CompletableFuture.completedFuture(scriptedResults.remove().apply(call));
    }

    /** Scripts a response with the given status and body for the next call. */
    void scriptResponse(int status, String body) {
        scriptedResults.add(call -> new EndpointResult.Answered(
                HttpResponse.create().withStatus(status).withEntity(ContentTypes.APPLICATION_JSON, body)));
    }

    /** Scripts a rejection of the next call by an endpoint that wants no requests for some time. */
    void scriptPause(int status, String seconds) {
        scriptedResults.add(call -> new EndpointResult.Answered(
                HttpResponse.create().withStatus(status).addHeader(header("Retry-After", seconds))));
    }

    /** Scripts a complete chat completion of the given version for the next call. */
    void scriptCompletion(String version) {
        scriptResponse(200, completionJson(version, 1_000));
    }

    /** Scripts a complete chat completion that arrives after the given time for the next call. */
    void scriptSlowCompletion(long millis, int tokens) {
        scriptedResults.add(call -> {
            time.advance(millis);
            return new EndpointResult.Answered(
                    HttpResponse.create().withEntity(ContentTypes.APPLICATION_JSON, completionJson(VERSION, tokens)));
        });
    }

    private static String completionJson(String version, int tokens) {
        return "{\"id\":\"c\",\"model\":\"" + version + "\",\"choices\":[{\"message\":{\"content\":\"5 min\"},"
                + "\"finish_reason\":\"stop\"}],\"usage\":{\"completion_tokens\":" + tokens + "}}";
    }

    /** Scripts a failure for the next call. */
    void scriptFailure(EndpointResult.Kind kind) {
        scriptedResults.add(call -> new EndpointResult.Failed(kind, "test"));
    }

    /** Sends a request and returns its response, or null if none has arrived after 20 s of virtual time. */
    HttpResponse send(HttpRequest request) {
        CompletableFuture<HttpResponse> response = gateway.handle(request).toCompletableFuture();
        for (int step = 0; step < 200 && !response.isDone(); step++) {
            time.advance(100);
        }
        return response.getNow(null);
    }

    HttpRequest chatRequest(String key, String model) {
        return HttpRequest.POST("/v1/chat/completions")
                .addHeader(header("Authorization", "Bearer " + key))
                .withEntity(
                        ContentTypes.APPLICATION_JSON,
                        "{\"model\":\"" + model + "\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}");
    }

    HttpRequest orderRequest(String idempotencyKey, String body) {
        return HttpRequest.POST("/v1/services/ledger/order")
                .addHeader(header("Authorization", "Bearer shop-key"))
                .addHeader(header("Idempotency-Key", idempotencyKey))
                .withEntity(ContentTypes.APPLICATION_JSON, body);
    }

    static HttpHeader header(String name, String value) {
        return RawHeader.create(name, value);
    }

    static VersionId version() {
        return VersionId.parse(VERSION).orElseThrow();
    }
}
