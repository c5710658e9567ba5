package baobabcroft.acceptance;

import static java.nio.charset.StandardCharsets.UTF_8;

import baobabcroft.config.ConfigDocument;
import baobabcroft.config.ConfigKeys;
import baobabcroft.external.LiveEntry;
import baobabcroft.rules.ParsedRules;
import baobabcroft.rules.RuleSet;
import baobabcroft.rules.RulesParser;
import baobabcroft.standin.Standins;
import baobabcroft.testing.FreePorts;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.hash.Hashing;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Deployment of one scenario: stand-ins in this process and router instances in separate processes. */
public final class Deployment {
    static final String ACCOUNT = "shop";

    private static final String ACCOUNT_KEY = "shop-key";
    private static final String OPERATOR_KEY = "operator-key";
    private static final long SEED = 4;

    /**
     * More than twice the lag of the live list. Until then the instances count each other as recently listed, and no
     * majority of them can accept a change.
     */
    private static final Duration LIST_SETTLED = Duration.ofSeconds(24);

    private final ObjectMapper json = new ObjectMapper();
    private final Client client = new Client();
    private final FreePorts ports = new FreePorts();
    private final List<RouterInstance> instances = new ArrayList<>();
    private SampleRules rules;
    private long readyNanos;
    private Standins standins;

    /** Starts the stand-ins and instances, applies the sample rules and waits until all instances are ready. */
    void start(int instanceCount) {
        rules = SampleRules.create(ports);
        standins = Standins.start(Standins.Ports.ANY, parse(rules.text()), SEED);
        Path folder = createDirectory();
        for (int n = 1; n <= instanceCount; n++) {
            RouterInstance instance = new RouterInstance("router-" + n, SampleRules.domain(n), folder, ports);
            instances.add(instance);
            standins.liveList()
                    .put(new LiveEntry(
                            instance.name(),
                            LiveEntry.Role.INSTANCE,
                            LiveEntry.State.LIVE,
                            instance.failureDomain(),
                            instance.peersAddress()));
        }
        instances.forEach(this::startProcess);
        instances.forEach(instance -> awaitOk(instance, "/healthz"));
        Reply applied = apply(1, rules.text(), 0).join();
        if (!applied.isOk()) {
            throw new AssertionError("the sample rules were not accepted: " + applied);
        }
        instances.forEach(instance -> awaitOk(instance, "/readyz"));
        readyNanos = System.nanoTime();
    }

    /** Waits until the instances have been listed long enough for a majority of them to accept a change. */
    void awaitListSettled() {
        Conditions.await(
                "the instances have been listed for " + LIST_SETTLED,
                () -> System.nanoTime() - readyNanos > LIST_SETTLED.toNanos());
    }

    private static Path createDirectory() {
        try {
            Path root = Files.createDirectories(Path.of("target", "scenarios"));
            return Files.createTempDirectory(root, "run-");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static RuleSet parse(String text) {
        if (RulesParser.parse(text) instanceof ParsedRules.Valid valid) {
            return valid.rules();
        }
        throw new IllegalStateException("invalid sample rules: " + RulesParser.parse(text));
    }

    /** Starts a process of the instance. */
    void startProcess(RouterInstance instance) {
        URI store = standins.keyValue().uri();
        instance.start(store, standins.liveList().uri(), sha256(OPERATOR_KEY));
    }

    /** Waits until the instance answers a path of its callers' address with 200. */
    void awaitOk(RouterInstance instance, String path) {
        Conditions.await(instance.name() + " answers " + path + " with 200", () -> client.isOk(instance.callers(path)));
    }

    static String sha256(String key) {
        return Hashing.sha256().hashString(key, UTF_8).toString();
    }

    SampleRules rules() {
        return rules;
    }

    Standins standins() {
        return standins;
    }

    Client client() {
        return client;
    }

    /** Returns an instance by its number, starting at 1. */
    RouterInstance instance(int number) {
        return instances.get(number - 1);
    }

    List<RouterInstance> instances() {
        return List.copyOf(instances);
    }

    /** Submits rules to an instance as an operator; {@code base} is the configuration number that they replace. */
    CompletableFuture<Reply> apply(int instance, String rulesText, long base) {
        String body = write(Map.of("text", rulesText, "baseNumber", base, "comment", "scenario"));
        return client.send(Client.post(instance(instance).admin("/admin/v1/rules"), OPERATOR_KEY, body));
    }

    /** Fetches the rules that are in force on an instance. */
    CompletableFuture<Reply> currentRules(int instance) {
        return client.send(Client.get(instance(instance).admin("/admin/v1/rules"), OPERATOR_KEY));
    }

    /** Sends a non-idempotent operation with an idempotency key. */
    CompletableFuture<Reply> order(int instance, String key) {
        return client.send(Client.post(
                instance(instance).callers("/v1/services/ledger/place"),
                ACCOUNT_KEY,
                "{\"item\":42}",
                "Idempotency-Key",
                key));
    }

    /** Sends a non-streaming chat request. */
    CompletableFuture<Reply> chat(int instance, String model, String text) {
        return client.send(chatRequest(instance, model, text, false));
    }

    /** Sends a streaming chat request; the future completes when the response headers have arrived. */
    CompletableFuture<OpenStream> streamedChat(int instance, String model, String text) {
        return client.sendStreamed(chatRequest(instance, model, text, true));
    }

    private HttpRequest chatRequest(int instance, String model, String text, boolean stream) {
        List<Map<String, String>> messages = List.of(Map.of("role", "user", "content", text));
        String body = write(Map.of("model", model, "stream", stream, "max_tokens", 60, "messages", messages));
        return Client.post(instance(instance).callers("/v1/chat/completions"), ACCOUNT_KEY, body);
    }

    private String write(Object value) {
        try {
            return json.writeValueAsString(value);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns how often the service's endpoints ran the operation with an idempotency key. */
    long serviceRuns(String key) {
        return standins.services().values().stream()
                .mapToLong(service -> service.runsOf(ACCOUNT + ":" + key))
                .sum();
    }

    /** Returns the number of requests for a version that the engines have started. */
    long starts(String version) {
        return standins.engines().values().stream()
                .mapToLong(engine -> engine.counters().runs().getOrDefault(version, 0L))
                .sum();
    }

    /** Returns the current configuration in the store. */
    ConfigDocument storedConfig() {
        return standins.keyValue()
                .valueOf(ConfigKeys.CURRENT)
                .flatMap(ConfigDocument::fromBytes)
                .orElseThrow();
    }

    /** Kills all running processes and closes the stand-ins. */
    void stop() {
        instances.stream().filter(RouterInstance::isRunning).forEach(RouterInstance::kill);
        if (standins != null) {
            standins.close();
        }
    }
}
