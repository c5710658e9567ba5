import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send several idempotent requests on a kept channel without waiting for the answers, while machines get SIGTERM
 * in turn. Judged is the rule LOST around planned work. Without trouble no machine is stopped.
 */
public final class Pipelining {
    private static final int EXIT_HELD = 0;
    private static final int EXIT_BROKEN = 1;
    private static final int EXIT_NOT_RUN = 2;

    private static final String SERVICE = "narudzbe";
    private static final int GRACE_SECONDS = 8;
    private static final double LOSS_SLACK_SECONDS = 0.2;
    private static final int WORK_MILLIS = 250;
    private static final int DEPTH = 3;
    private static final int CLIENTS_PER_NODE = 3;
    private static final int CLIENT_PAUSE_MILLIS = 150;

    private final Record record;
    private final boolean trouble;
    private final Store store;
    private final List<Node> nodes = new ArrayList<>();
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger unread = new AtomicInteger();
    private final long startMillis = System.currentTimeMillis();
    private volatile boolean ended;

    private Pipelining(Record record, boolean trouble) throws IOException {
        this.record = record;
        this.trouble = trouble;
        this.store = new Store("127.0.0.1", record);
    }

    public static void main(String[] args) throws Exception {
        Path folder = Files.createTempDirectory("review-3");
        int status = EXIT_NOT_RUN;
        try (Record record = new Record(Path.of(args[0]))) {
            Pipelining run = new Pipelining(record, !"0".equals(System.getenv("TROUBLE")));
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
            Worker worker = new Worker("127.0.0.1", "i-" + zone, SERVICE, zone, "v1", 0, WORK_MILLIS,
                    (at, request, status) -> record.line(
                            "run: " + request.header("Baobabcroft-Request-Id") + " at " + at.id));
            store.put("servers/" + worker.id, worker.entry("ready"));
        }
        startNodes(folder);
        if (!awaitReady()) {
            record.report("the nodes did not become ready");
            return EXIT_NOT_RUN;
        }
        for (Node node : nodes) {
            for (int i = 0; i < CLIENTS_PER_NODE; i++) {
                Thread thread = new Thread(() -> sendRequests(node));
                thread.setDaemon(true);
                thread.start();
            }
        }
        Thread.sleep(6_000);
        for (Node node : nodes.subList(0, 2)) {
            if (trouble) {
                record.line("SIGTERM to " + node.name);
                node.signal("TERM");
            }
            Thread.sleep(1_000L * GRACE_SECONDS + 2_000);
        }
        ended = true;
        Thread.sleep(1_500);
        return judge();
    }

    private void writeConfiguration() {
        Map<String, Object> route = new LinkedHashMap<>();
        route.put("name", "stock-lookup");
        route.put("host", "shop.example");
        route.put("path_prefix", "/stock/");
        route.put("service", SERVICE);
        route.put("kind", "idempotent");
        route.put("attempts", 2);
        route.put("timeout_ms", 1_200);
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

    private void startNodes(Path folder) throws IOException {
        Map<String, Object> zones = new LinkedHashMap<>();
        zones.put("zagreb-a", "zagreb");
        zones.put("split-a", "split");
        zones.put("osijek-a", "osijek");
        Map<String, Object> bounds = Map.of("contactMillis", 4_000, "graceSeconds", GRACE_SECONDS, "retryRatio", 0.9,
                "retrySlack", 58, "exposureShare", 0.15);
        for (String zone : zones.keySet()) {
            Node node = new Node("front-" + zone + "-1", zone, "127.0.73." + (nodes.size() + 1), zones, bounds,
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

    /** Keeps a channel to a node as long as it answers, and opens a new one when it has ended. */
    private void sendRequests(Node node) {
        while (!ended) {
            try (Socket socket = new Socket(node.host, node.frontPort)) {
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(5_000);
                BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
                boolean open = true;
                while (open && !ended) {
                    open = sendGroup(node, socket, in);
                    Thread.sleep(CLIENT_PAUSE_MILLIS);
                }
            } catch (IOException stopped) {
                pause();
            } catch (InterruptedException interrupted) {
                return;
            }
        }
    }

    private static void pause() {
        try {
            Thread.sleep(CLIENT_PAUSE_MILLIS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends some requests at once and reads their answers; returns whether the channel is still open. */
    private boolean sendGroup(Node node, Socket socket, BufferedInputStream in) throws IOException {
        List<String> open = new ArrayList<>();
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < DEPTH; i++) {
            String id = String.format("%016x", startMillis * 1_000_000 + requests.incrementAndGet());
            open.add(id);
            text.append("GET /stock/").append(id).append(" HTTP/1.1\r\nHost: shop.example\r\n")
                    .append("Authorization: Bearer key-of-shop\r\nBaobabcroft-Request-Id: ").append(id)
                    .append("\r\nBaobabcroft-Deadline-Ms: 2500\r\n\r\n");
        }
        socket.getOutputStream().write(text.toString().getBytes(StandardCharsets.ISO_8859_1));
        double sentAt = record.seconds();
        record.line("sent to " + node.name + ": " + open);
        try {
            while (!open.isEmpty()) {
                Http.Message answer = Http.read(in, true);
                if (answer == null) {
                    onChannelEnd(node, open, record.seconds() - sentAt);
                    return false;
                }
                record.line("answered: " + answer.header("Baobabcroft-Request-Id") + " " + answer.status()
                        + (answer.header("Connection").isEmpty() ? "" : ", Connection: " + answer.header("Connection")));
                open.remove(0);
                answered.incrementAndGet();
            }
        } catch (SocketException reset) {
            // A channel that is closed before all bytes were read is reset: the requests may be unread.
            unread.addAndGet(open.size());
            record.line("reset by " + node.name + " before it answered " + open);
            return false;
        }
        return true;
    }

    /** The channel has ended in order, so the process has read all that was sent on it. */
    private void onChannelEnd(Node node, List<String> open, double secondsSinceSent) {
        record.line("ended by " + node.name + " " + Math.round(secondsSinceSent * 1_000) + " ms after it was sent " + open);
        if (secondsSinceSent > LOSS_SLACK_SECONDS) {
            lost.addAndGet(open.size());
        }
    }

    private int judge() {
        record.report("requests answered: " + answered);
        record.report("requests on channels that were reset, not judged: " + unread);
        record.report("requests that were read, and whose channel ended without an answer later than "
                + LOSS_SLACK_SECONDS + " s after they were sent: " + lost);
        if (answered.get() < 200) {
            record.report("too few requests to judge");
            return EXIT_NOT_RUN;
        }
        record.report(lost.get() > 0 ? "LOST is broken" : "LOST held");
        return lost.get() > 0 ? EXIT_BROKEN : EXIT_HELD;
    }
}
