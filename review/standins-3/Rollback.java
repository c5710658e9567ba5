import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An operator orders a roll-out to a bad version, and a few seconds later, before the new version gets any request, the
 * roll-out back to the version that serves. Judged is the rule EXPOSURE. Without trouble the second order is not given.
 */
public final class Rollback {
    private static final int EXIT_HELD = 0;
    private static final int EXIT_BROKEN = 1;
    private static final int EXIT_NOT_RUN = 2;

    private static final String SERVICE = "narudzbe";
    private static final double EXPOSE_SHARE = 0.15;
    private static final int EXPOSE_SLACK = 30;
    private static final int ROLLBACK_MILLIS = 5_000;
    private static final int BAD_ANSWERS = 50;
    private static final double FAILING_SHARE = 0.5;
    private static final int DURATION_SECONDS = 24;
    private static final int SECOND_ORDER_AFTER_MILLIS = 4_000;
    private static final int WORK_MILLIS = 20;
    private static final int CLIENTS = 12;
    private static final int CLIENT_PAUSE_MILLIS = 350;
    private static final int ROUTE_TIMEOUT_MILLIS = 1_200;

    private final Record record;
    private final boolean trouble;
    private final Store store;
    private final List<Node> nodes = new ArrayList<>();
    private final List<Worker> workers = new ArrayList<>();
    private final List<double[]> runs = new ArrayList<>();
    private final Map<Integer, Integer> answers = new LinkedHashMap<>();
    private final AtomicInteger requests = new AtomicInteger();
    private final long startMillis = System.currentTimeMillis();
    private volatile boolean ended;

    private Rollback(Record record, boolean trouble) throws IOException {
        this.record = record;
        this.trouble = trouble;
        this.store = new Store("127.0.0.1", record);
    }

    public static void main(String[] args) throws Exception {
        Path folder = Files.createTempDirectory("review-3");
        int status = EXIT_NOT_RUN;
        try (Record record = new Record(Path.of(args[0]))) {
            Rollback run = new Rollback(record, !"0".equals(System.getenv("TROUBLE")));
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
        startWorkers("v1", 0);
        startNodes(folder);
        if (!awaitReady()) {
            record.report("the nodes did not become ready");
            return EXIT_NOT_RUN;
        }
        startClients();
        Thread.sleep(6_000);
        double orderedAt = record.seconds();
        order("v2");
        startWorkers("v2", FAILING_SHARE);
        Thread.sleep(SECOND_ORDER_AFTER_MILLIS);
        if (trouble) {
            order("v1");
        }
        Thread.sleep(1_000L * DURATION_SECONDS - SECOND_ORDER_AFTER_MILLIS);
        ended = true;
        return judge(orderedAt);
    }

    private void order(String version) {
        store.put("op/rollout/" + SERVICE,
                Map.of("service", SERVICE, "target", version, "duration_s", DURATION_SECONDS));
    }

    private void writeConfiguration() {
        Map<String, Object> route = new LinkedHashMap<>();
        route.put("name", "kit-dispatch");
        route.put("host", "shop.example");
        route.put("path_prefix", "/orders/");
        route.put("service", SERVICE);
        route.put("kind", "non_idempotent");
        route.put("attempts", 1);
        route.put("timeout_ms", ROUTE_TIMEOUT_MILLIS);
        route.put("goal_ms", 486);
        route.put("priority", 2);
        store.put("op/config", Map.of(
                "version", 1,
                "routes", List.of(route),
                "services", List.of(Map.of("name", SERVICE, "max_conns", 110)),
                "limits", Map.of("max_header_bytes", 16_384, "max_body_bytes", 4_194_304, "header_timeout_ms", 5_000,
                        "idle_timeout_ms", 10_000),
                "tenants", List.of(Map.of("name", "shop", "api_keys", List.of("key-of-shop")))));
    }

    private void startWorkers(String version, double failingShare) throws IOException {
        for (String zone : List.of("zagreb-a", "split-a", "osijek-a")) {
            Worker worker = new Worker("127.0.0.1", "i-" + version + "-" + zone, SERVICE, zone, version, failingShare,
                    WORK_MILLIS, this::onRun);
            workers.add(worker);
            store.put("servers/" + worker.id, worker.entry("ready"));
        }
    }

    private void onRun(Worker worker, Http.Message request, int status) {
        synchronized (runs) {
            runs.add(new double[] {record.seconds(), worker.version.equals("v2") ? 1 : 0, status});
        }
        record.line("run: " + request.header("Baobabcroft-Request-Id") + " at " + worker.id + ", answers " + status);
    }

    private void startNodes(Path folder) throws IOException {
        Map<String, Object> zones = new LinkedHashMap<>();
        zones.put("zagreb-a", "zagreb");
        zones.put("split-a", "split");
        zones.put("osijek-a", "osijek");
        Map<String, Object> bounds = Map.of("contactMillis", 4_000, "graceSeconds", 8, "retryRatio", 0.9,
                "retrySlack", 58, "exposureShare", EXPOSE_SHARE);
        for (String zone : zones.keySet()) {
            Node node = new Node("front-" + zone + "-1", zone, "127.0.71." + (nodes.size() + 1), zones, bounds,
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

    private void startClients() {
        for (int i = 0; i < CLIENTS; i++) {
            Node node = nodes.get(i % nodes.size());
            Thread thread = new Thread(() -> sendRequests(new Client(node.host, node.frontPort)));
            thread.setDaemon(true);
            thread.start();
        }
    }

    private void sendRequests(Client client) {
        while (!ended) {
            String id = String.format("%016x", startMillis * 1_000_000 + requests.incrementAndGet());
            String headers = "Host: shop.example\r\nAuthorization: Bearer key-of-shop\r\nBaobabcroft-Request-Id: " + id
                    + "\r\nBaobabcroft-Deadline-Ms: 2500\r\n";
            record.line("sent: " + id);
            Http.Message answer = client.send("POST", "/orders/" + id, headers, "one kit", 3_000);
            int status = answer == null ? 0 : answer.status();
            record.line("answered: " + id + " " + status);
            synchronized (answers) {
                answers.merge(status, 1, Integer::sum);
            }
            try {
                Thread.sleep(CLIENT_PAUSE_MILLIS);
            } catch (InterruptedException stopped) {
                return;
            }
        }
    }

    /** The share of the bad version between its order and its time budget, and its requests after 50 bad answers. */
    private int judge(double orderedAt) {
        int all = 0;
        int bad = 0;
        int failed = 0;
        int late = 0;
        double fiftiethAt = Double.MAX_VALUE;
        synchronized (runs) {
            for (double[] run : runs) {
                if (run[0] < orderedAt || run[0] > orderedAt + DURATION_SECONDS) {
                    continue;
                }
                all++;
                bad += (int) run[1];
                failed += run[1] == 1 && run[2] == 500 ? 1 : 0;
                if (failed == BAD_ANSWERS && fiftiethAt == Double.MAX_VALUE) {
                    fiftiethAt = run[0];
                }
                late += run[1] == 1 && run[0] > fiftiethAt + (ROLLBACK_MILLIS + ROUTE_TIMEOUT_MILLIS) / 1e3 ? 1 : 0;
            }
        }
        double allowed = EXPOSE_SHARE * all + EXPOSE_SLACK;
        record.report("requests that reached the service in the time of the roll-out: " + all);
        record.report("of them at the bad version: " + bad + ", allowed " + (int) allowed);
        record.report("bad answers: " + failed + "; requests sent later than " + ROLLBACK_MILLIS
                + " ms after the 50th: " + late);
        record.report("answers by status: " + answers + "; status: " + store.text("status/rollout/" + SERVICE));
        if (all < 200) {
            record.report("too few requests to judge");
            return EXIT_NOT_RUN;
        }
        boolean broken = bad > allowed || late > 0;
        record.report(broken ? "EXPOSURE is broken" : "EXPOSURE held");
        return broken ? EXIT_BROKEN : EXIT_HELD;
    }
}
