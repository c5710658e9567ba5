import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A request crashes each worker that runs it, after some whole events of its stream, and comes again. The streams end
 * with their channel. Judged is what BUDGET says of such requests. Without trouble no request crashes workers; with
 * FRAMING=chunks the streams have chunks.
 */
public final class Poison {
    private static final int EXIT_HELD = 0;
    private static final int EXIT_BROKEN = 1;
    private static final int EXIT_NOT_RUN = 2;

    private static final String SERVICE = "pomocnik";
    private static final double CONTACT_SECONDS = 4;
    private static final int CRASHES = 3;
    private static final int ALLOWED_RETRIES = 3;
    private static final int WORKERS = 6;
    private static final int DOWN_MILLIS = 3_000;
    private static final int PLAY_MILLIS = 40_000;
    private static final int POISON_PAUSE_MILLIS = 1_500;
    private static final int CLIENTS = 6;
    private static final int CLIENT_PAUSE_MILLIS = 300;
    private static final int EVENTS = 8;

    private final Record record;
    private final boolean trouble;
    private final String framing;
    private final Store store;
    private final List<Node> nodes = new ArrayList<>();
    private final List<Process> workers = new ArrayList<>();
    private final List<Double> poisonRuns = new ArrayList<>();
    private final Map<String, Integer> answers = new LinkedHashMap<>();
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger boots = new AtomicInteger();
    private final long startMillis = System.currentTimeMillis();
    private volatile boolean ended;

    private Poison(Record record, boolean trouble, String framing) throws IOException {
        this.record = record;
        this.trouble = trouble;
        this.framing = framing;
        this.store = new Store("127.0.0.1", record);
    }

    public static void main(String[] args) throws Exception {
        Path folder = Files.createTempDirectory("review-3");
        int status = EXIT_NOT_RUN;
        try (Record record = new Record(Path.of(args[0]))) {
            boolean trouble = !"0".equals(System.getenv("TROUBLE"));
            Poison run = new Poison(record, trouble, System.getenv().getOrDefault("FRAMING", "close"));
            Runtime.getRuntime().addShutdownHook(new Thread(run::killAll));
            try {
                status = run.play(folder);
            } finally {
                run.killAll();
                Folders.delete(folder);
            }
        }
        System.exit(status);
    }

    private void killAll() {
        synchronized (workers) {
            ended = true;
            workers.forEach(Process::destroyForcibly);
        }
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
        for (int i = 0; i < WORKERS; i++) {
            String zone = List.of("zagreb-a", "split-a", "osijek-a").get(i % 3);
            int port = freePort();
            daemon(() -> runWorker(zone, port));
        }
        Thread.sleep(2_000);
        startNodes(folder);
        if (!awaitReady()) {
            record.report("the nodes did not become ready");
            return EXIT_NOT_RUN;
        }
        for (int i = 0; i < CLIENTS; i++) {
            Node node = nodes.get(i % nodes.size());
            String path = "/guides/" + i;
            daemon(() -> sendRequests(new Client(node.host, node.frontPort), path));
        }
        Thread.sleep(6_000);
        if (trouble) {
            daemon(this::sendPoison);
        }
        Thread.sleep(PLAY_MILLIS);
        ended = true;
        return judge();
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    private void writeConfiguration() {
        Map<String, Object> route = new LinkedHashMap<>();
        route.put("name", "exposure-guide");
        route.put("host", "shop.example");
        route.put("path_prefix", "/guides/");
        route.put("service", SERVICE);
        route.put("kind", "streaming");
        route.put("resumable", true);
        route.put("attempts", 3);
        route.put("timeout_ms", 12_000);
        route.put("goal_ms", 3_000);
        route.put("gap_target_ms", 800);
        route.put("priority", 1);
        store.put("op/config", Map.of(
                "version", 1,
                "routes", List.of(route),
                "services", List.of(Map.of("name", SERVICE, "max_conns", 370)),
                "limits", Map.of("max_header_bytes", 16_384, "max_body_bytes", 4_194_304, "header_timeout_ms", 5_000,
                        "idle_timeout_ms", 10_000),
                "tenants", List.of(Map.of("name", "shop", "api_keys", List.of("key-of-shop")))));
    }

    /** Runs a worker process; after a crash its entry lapses, and it is back some seconds later under a new id. */
    private void runWorker(String zone, int port) {
        while (!ended) {
            String id = "i-" + boots.incrementAndGet();
            try {
                Process process = startWorker(port, id);
                if (process == null) {
                    return;
                }
                BufferedReader out =
                        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
                for (String line = out.readLine(); line != null; line = out.readLine()) {
                    onWorkerLine(id, zone, port, line);
                }
                record.line("worker " + id + " has crashed");
                Thread.sleep(DOWN_MILLIS);
                store.delete("servers/" + id);
            } catch (IOException | InterruptedException failed) {
                record.line("worker " + id + ": " + failed);
            }
        }
    }

    /** Returns the process; null if the play has ended. */
    private Process startWorker(int port, String id) throws IOException {
        synchronized (workers) {
            if (ended) {
                return null;
            }
            Process process = new ProcessBuilder(
                            Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx32m",
                            "-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-cp", "target/review-3", "CrashingWorker",
                            "127.0.0.1", Integer.toString(port), id, framing)
                    .redirectError(ProcessBuilder.Redirect.DISCARD)
                    .start();
            workers.add(process);
            return process;
        }
    }

    private void onWorkerLine(String id, String zone, int port, String line) {
        if (line.equals("listening")) {
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("service", SERVICE);
            entry.put("addr", "127.0.0.1:" + port);
            entry.put("zone", zone);
            entry.put("version", "v1");
            entry.put("slots", 16);
            entry.put("state", "ready");
            entry.put("warmup_left_ms", 0);
            entry.put("seq", 1);
            entry.put("born", System.currentTimeMillis());
            store.put("servers/" + id, entry);
            return;
        }
        record.line("worker " + id + ": " + line);
        if (line.contains("poison")) {
            synchronized (poisonRuns) {
                poisonRuns.add(record.seconds());
            }
        }
    }

    private void startNodes(Path folder) throws IOException {
        Map<String, Object> zones = new LinkedHashMap<>();
        zones.put("zagreb-a", "zagreb");
        zones.put("split-a", "split");
        zones.put("osijek-a", "osijek");
        Map<String, Object> bounds = Map.of("contactMillis", 4_000, "graceSeconds", 8, "retryRatio", 0.9,
                "retrySlack", 58, "exposureShare", 0.15);
        for (String zone : zones.keySet()) {
            Node node = new Node("front-" + zone + "-1", zone, "127.0.72." + (nodes.size() + 1), zones, bounds,
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

    private void sendRequests(Client client, String path) {
        while (!ended) {
            count("sound", send(client, path));
            pause(CLIENT_PAUSE_MILLIS);
        }
    }

    /** The request comes again as long as its stream lacks its last event, each time at another machine. */
    private void sendPoison() {
        for (int i = 0; !ended; i++) {
            Node node = nodes.get(i % nodes.size());
            count("poison", send(new Client(node.host, node.frontPort), "/guides/poison"));
            pause(POISON_PAUSE_MILLIS);
        }
    }

    private String send(Client client, String path) {
        String id = String.format("%016x", startMillis * 1_000_000 + requests.incrementAndGet());
        String headers = "Host: shop.example\r\nAuthorization: Bearer key-of-shop\r\nBaobabcroft-Request-Id: " + id
                + "\r\nBaobabcroft-Deadline-Ms: 12000\r\n";
        record.line("sent: " + id + " " + path);
        Http.Message answer = client.send("POST", path, headers, "a guide, please", 13_000);
        String outcome = "no answer";
        if (answer != null) {
            boolean whole = new String(answer.body(), StandardCharsets.UTF_8).contains("id: " + EVENTS + "\n");
            outcome = answer.status() + (answer.status() == 200 && !whole ? " without its last event" : "");
        }
        record.line("answered: " + id + " " + outcome);
        return outcome;
    }

    private void count(String kind, String outcome) {
        synchronized (answers) {
            answers.merge(kind + " " + outcome, 1, Integer::sum);
        }
    }

    private static void pause(int millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    /** A retry counts if it reaches a worker later than the contact time after the third crash. */
    private int judge() {
        List<Double> runs;
        synchronized (poisonRuns) {
            runs = List.copyOf(poisonRuns);
        }
        record.report("answers: " + answers);
        record.report("workers that ran the crashing request: " + runs.size());
        if (answers.getOrDefault("sound 200", 0) < 100) {
            record.report("too few requests to judge");
            return EXIT_NOT_RUN;
        }
        double from = runs.size() < CRASHES ? Double.MAX_VALUE : runs.get(CRASHES - 1) + 0.5 + CONTACT_SECONDS;
        long retries = runs.stream().filter(at -> at > from).count();
        record.report("retries later than " + CONTACT_SECONDS + " s after its third crash: " + retries + ", allowed "
                + ALLOWED_RETRIES);
        boolean broken = retries > ALLOWED_RETRIES;
        record.report(broken ? "BUDGET is broken" : "BUDGET held");
        return broken ? EXIT_BROKEN : EXIT_HELD;
    }
}
