import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Client accounts whose names have letters beyond ASCII, and lookups whose paths have such letters as they are, in UTF-8.
 * Judged is the rule UNASKED: what account and what path a worker runs a request with. Without trouble all names are in
 * ASCII and paths are percent-encoded.
 */
public final class Letters {
    private static final int EXIT_HELD = 0;
    private static final int EXIT_BROKEN = 1;
    private static final int EXIT_NOT_RUN = 2;

    private static final String SERVICE = "narudzbe";
    private static final int WORK_MILLIS = 20;
    private static final int CLIENTS = 6;
    private static final int CLIENT_PAUSE_MILLIS = 100;
    private static final int PLAY_MILLIS = 8_000;

    /** What the client has sent: the name of its account, and the path as bytes in ISO 8859-1. */
    private record Sent(String account, String path) {}

    private final Record record;
    private final List<String> accounts;
    private final List<String> things;
    private final Store store;
    private final List<Node> nodes = new ArrayList<>();
    private final Map<String, Sent> sent = new ConcurrentHashMap<>();
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger runs = new AtomicInteger();
    private final AtomicInteger otherAccounts = new AtomicInteger();
    private final AtomicInteger otherPaths = new AtomicInteger();
    private final long startMillis = System.currentTimeMillis();
    private volatile boolean ended;

    private Letters(Record record, boolean trouble) throws IOException {
        this.record = record;
        this.store = new Store("127.0.0.1", record);
        this.accounts = trouble
                ? List.of("Kova\u010di\u0107 Optika", "Kova\u0107i\u010d Optika", "Split")
                : List.of("Kovacic Optika", "Kovacic Optika 2", "Split");
        this.things = trouble ? List.of("ku\u0107i\u0161te", "le\u0107a") : List.of("ku%C4%87i%C5%A1te", "le%C4%87a");
    }

    public static void main(String[] args) throws Exception {
        Path folder = Files.createTempDirectory("review-3");
        int status = EXIT_NOT_RUN;
        try (Record record = new Record(Path.of(args[0]))) {
            Letters run = new Letters(record, !"0".equals(System.getenv("TROUBLE")));
            Runtime.getRuntime().addShutdownHook(new Thread(run::killNodes));
            try {
                status = run.play(folder);
            } finally {
                run.killNodes();
                Folders.delete(folder);
            }
        }
        System.exit(status);
    }

    private void killNodes() {
        for (Node node : nodes) {
            try {
                node.kill();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private int play(Path folder) throws Exception {
        writeConfiguration();
        for (String zone : List.of("zagreb-a", "split-a", "osijek-a")) {
            Worker worker = new Worker("127.0.0.1", "i-" + zone, SERVICE, zone, "v1", 0, WORK_MILLIS, this::onRun);
            store.put("servers/" + worker.id, worker.entry("ready"));
        }
        startNodes(folder);
        if (!awaitReady()) {
            record.report("the nodes did not become ready");
            return EXIT_NOT_RUN;
        }
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Thread thread = new Thread(() -> sendRequests(nodes.get(number % nodes.size()), number % accounts.size()));
            thread.setDaemon(true);
            thread.start();
        }
        Thread.sleep(PLAY_MILLIS);
        ended = true;
        Thread.sleep(500);
        return judge();
    }

    private static Map<String, Object> route(String name, String prefix, String kind) {
        Map<String, Object> route = new LinkedHashMap<>();
        route.put("name", name);
        route.put("host", "shop.example");
        route.put("path_prefix", prefix);
        route.put("service", SERVICE);
        route.put("kind", kind);
        route.put("attempts", 1);
        route.put("timeout_ms", 1_200);
        route.put("goal_ms", 486);
        route.put("priority", 2);
        return route;
    }

    private void writeConfiguration() {
        List<Object> tenants = new ArrayList<>();
        for (int i = 0; i < accounts.size(); i++) {
            tenants.add(Map.of("name", accounts.get(i), "api_keys", List.of("key-" + i)));
        }
        store.put("op/config", Map.of(
                "version", 1,
                "routes", List.of(route("kit-dispatch", "/orders/", "non_idempotent"),
                        route("stock-lookup", "/stock/", "idempotent")),
                "services", List.of(Map.of("name", SERVICE, "max_conns", 110)),
                "limits", Map.of("max_header_bytes", 16_384, "max_body_bytes", 4_194_304, "header_timeout_ms", 5_000,
                        "idle_timeout_ms", 10_000),
                "tenants", tenants));
    }

    private void startNodes(Path folder) throws IOException {
        Map<String, Object> zones = new LinkedHashMap<>();
        zones.put("zagreb-a", "zagreb");
        zones.put("split-a", "split");
        zones.put("osijek-a", "osijek");
        Map<String, Object> bounds = Map.of("contactMillis", 4_000, "graceSeconds", 8, "retryRatio", 0.9,
                "retrySlack", 58, "exposureShare", 0.15);
        for (String zone : zones.keySet()) {
            Node node = new Node("front-" + zone + "-1", zone, "127.0.74." + (nodes.size() + 1), zones, bounds,
                    store.address(), folder);
            nodes.add(node);
            node.start();
        }
    }

    private boolean awaitReady() throws InterruptedException {
        for (int i = 0; i < 60; i++) {
            Thread.sleep(500);
            if (nodes.stream().allMatch(Node::isReady)) {
                return true;
            }
        }
        return false;
    }

    private static String bytesOf(String text) {
        return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
    }

    /** Sends an order with a path in ASCII and a lookup with the name of a thing in its path, by turns. */
    private void sendRequests(Node node, int account) {
        Client client = new Client(node.host, node.frontPort);
        for (int i = 0; !ended; i++) {
            String id = String.format("%016x", startMillis * 1_000_000 + requests.incrementAndGet());
            boolean order = i % 2 == 0;
            String path = order ? "/orders/" + id : "/stock/" + bytesOf(things.get(i / 2 % things.size()));
            sent.put(id, new Sent(accounts.get(account), path));
            record.line("sent: " + id + " of " + accounts.get(account) + " " + utf8(path));
            Http.Message answer = client.send(order ? "POST" : "GET", path,
                    "Host: shop.example\r\nAuthorization: Bearer key-" + account + "\r\nBaobabcroft-Request-Id: " + id
                            + "\r\nBaobabcroft-Deadline-Ms: 2500\r\n",
                    order ? "one kit" : "", 3_000);
            record.line("answered: " + id + " " + (answer == null ? "no answer" : answer.status()));
            try {
                Thread.sleep(CLIENT_PAUSE_MILLIS);
            } catch (InterruptedException stopped) {
                return;
            }
        }
    }

    private static String utf8(String bytes) {
        return new String(bytes.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8);
    }

    /** A name counts as the account's in UTF-8 and in ISO 8859-1. */
    private void onRun(Worker worker, Http.Message request, int status) {
        String id = request.header("Baobabcroft-Request-Id");
        Sent expected = sent.get(id);
        String account = request.header("Baobabcroft-Tenant");
        String path = request.startLine().split(" ")[1];
        runs.incrementAndGet();
        record.line("run: " + id + " at " + worker.id + " for " + utf8(account) + " " + utf8(path));
        if (!account.equals(expected.account()) && !utf8(account).equals(expected.account())) {
            otherAccounts.incrementAndGet();
        }
        if (!path.equals(expected.path())) {
            otherPaths.incrementAndGet();
        }
    }

    private int judge() {
        record.report("requests run: " + runs);
        record.report("of them for an account that isn't the one that holds the key: " + otherAccounts);
        record.report("of them with another path than the client's: " + otherPaths);
        if (runs.get() < 100) {
            record.report("too few requests to judge");
            return EXIT_NOT_RUN;
        }
        boolean broken = otherAccounts.get() + otherPaths.get() > 0;
        record.report(broken ? "UNASKED is broken" : "UNASKED held");
        return broken ? EXIT_BROKEN : EXIT_HELD;
    }
}
