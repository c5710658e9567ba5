package baobabcroft.acceptance;

import static java.nio.charset.StandardCharsets.UTF_8;

import baobabcroft.config.ConfigDocument;
import baobabcroft.config.ConfigKeys;
import baobabcroft.external.LiveEntry;
import baobabcroft.rules.ParsedRules;
import baobabcroft.rules.RuleSet;
import baobabcroft.rules.RulesParser;
import baobabcroft.standin.Standins;
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

/** Stand-ins in this process and router instances as processes of their own, made anew for each scenario. */
public final class Deployment {
    static final String ACCOUNT = "shop";

    private static final String ACCOUNT_KEY = "shop-key";
    private static final String OPERATOR_KEY = "operator-key";
    private static final long SEED = 4;

    /** More than twice the list lag: until then instances count each other as recent, and no majority decides. */
    private static final Duration LIST_SETTLED = Duration.ofSeconds(24);

    private final ObjectMapper json = new ObjectMapper();
    private final Client client = new Client();
    private final FreePorts ports = new FreePorts();
    private final List<RouterInstance> instances = new ArrayList<>();
    private SampleRules rules;
    private long readyNanos;
    private Standins standins;

    /** Starts stand-ins and instances, puts the sample rules in force and waits until all instances are ready. */
    void start(int instanceCount) {
        rules = SampleRules.create(ports);
        standins = Standins.start(Standins.Ports.ANY, parse(rules.text()), SEED);
        Path folder = createFolder();
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

    /** Waits until the instances have seen each other listed for so long that a majority of them can decide. */
    void awaitListSettled() {
        Conditions.await(
                "the list has been watched for " + LIST_SETTLED,
                () -> System.nanoTime() - readyNanos > LIST_SETTLED.toNanos());
    }

    private static Path createFolder() {
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
        throw new IllegalStateException("the sample rules have faults: " + RulesParser.parse(text));
    }

    /** Starts a process at the instance's place. */
    void startProcess(RouterInstance instance) {
        URI store = standins.keyValue().uri();
        instance.start(store, standins.liveList().uri(), sha256(OPERATOR_KEY));
    }

    /** Waits until a path of the callers' address is answered with 200. */
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

    /** Returns the instance of a number from 1. */
    RouterInstance instance(int number) {
        return instances.get(number - 1);
    }

    List<RouterInstance> instances() {
        return List.copyOf(instances);
    }

    /** Sends rules to an instance as an operator. */
    CompletableFuture<Reply> apply(int instance, String rulesText, long base) {
        String body = write(Map.of("text", rulesText, "baseNumber", base, "comment", "scenario"));
        return client.send(Client.post(instance(instance).admin("/admin/v1/rules"), OPERATOR_KEY, body));
    }

    /** Asks an instance for the rules that it has in force. */
    CompletableFuture<Reply> currentRules(int instance) {
        return client.send(Client.get(instance(instance).admin("/admin/v1/rules"), OPERATOR_KEY));
    }

    /** Sends a non-idempotent operation. */
    CompletableFuture<Reply> order(int instance, String key) {
        return client.send(Client.post(
                instance(instance).callers("/v1/services/ledger/place"),
                ACCOUNT_KEY,
                "{\"item\":42}",
                "Idempotency-Key",
                key));
    }

    /** Sends a chat that is answered as a whole. */
    CompletableFuture<Reply> chat(int instance, String model, String text) {
        return client.send(chatRequest(instance, model, text, false));
    }

    /** Sends a chat that is streamed; the future completes when the head has come. */
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

    /** Returns how often the service's endpoints ran the operation of an idempotency key. */
    long serviceRuns(String key) {
        return standins.services().values().stream()
                .mapToLong(service -> service.runsOf(ACCOUNT + ":" + key))
                .sum();
    }

    /** Returns how many requests for a version the engines have started. */
    long starts(String version) {
        return standins.engines().values().stream()
                .mapToLong(engine -> engine.counters().runs().getOrDefault(version, 0L))
                .sum();
    }

    /** Returns the configuration that the store holds. */
    ConfigDocument storedConfig() {
        return standins.keyValue()
                .valueOf(ConfigKeys.CURRENT)
                .flatMap(ConfigDocument::fromBytes)
                .orElseThrow();
    }

    /** Ends all processes and stand-ins. */
    void stop() {
        instances.stream().filter(RouterInstance::isRunning).forEach(RouterInstance::kill);
        if (standins != null) {
            standins.close();
        }
    }
}
