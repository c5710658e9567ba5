import java.io.BufferedInputStream;
import java.io.File;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** What the cases share: the store, workers, the system's processes by the deploy file, and clients. */
final class Rig implements AutoCloseable {
    private static final int COULD_NOT_RUN = 2;
    private static final long MAX_RUN_MILLIS = 110_000;
    static final String CLIENT_HOST = "shop.example";
    static final String KEY = "n2ctnfzs989anu6wsjnb";
    static final String TENANT = "hule930";

    final Store store;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private final Path temporary = Files.createTempDirectory("review");
    private final List<Instance> instances = new ArrayList<>();
    private final AtomicLong ids = new AtomicLong();

    /** One process of the system. */
    final class Instance {
        String name;
        String zone;
        int callers;
        int ready;
        Process process;

        boolean isReady() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(Http.HOST, ready), 500);
                socket.setSoTimeout(1_000);
                socket.getOutputStream()
                        .write(Http.bytes("GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n"));
                Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()), true, "GET");
                return answer != null && answer.status() == 200;
            } catch (IOException notReady) {
                return false;
            }
        }
    }

    /** How a worker answers one request. */
    interface Behaviour {
        /** Returns false for the usual answer, or writes another one and returns true; the channel is then closed. */
        boolean answer(Worker worker, Http.Message request, byte[] body, OutputStream out) throws Exception;
    }

    /** A plain worker: 800 bytes that depend on the request's id, after its work. */
    final class Worker {
        final String id;
        final String service;
        final String version;
        final long workMillis;
        final int port;
        volatile Behaviour behaviour = (worker, request, body, out) -> false;
        volatile String state = "ready";
        final java.util.concurrent.atomic.AtomicInteger running = new java.util.concurrent.atomic.AtomicInteger();

        Worker(String id, String service, String version, long workMillis) throws IOException {
            this.id = id;
            this.service = service;
            this.version = version;
            this.workMillis = workMillis;
            ServerSocket server = Http.bind(0);
            port = server.getLocalPort();
            Http.serve(server, (request, out, socket) -> handle(request, out));
        }

        void register(String zone) {
            store.put(
                    "servers/" + id,
                    "{\"service\":\"" + service + "\",\"addr\":\"" + Http.HOST + ":" + port + "\",\"zone\":\"" + zone
                            + "\",\"version\":\"" + version + "\",\"slots\":6,\"state\":\"" + state
                            + "\",\"warmup_left_ms\":0,\"seq\":1,\"born\":" + born + "}");
        }

        private final long born = System.currentTimeMillis();

        private boolean handle(Http.Message request, OutputStream out) throws Exception {
            String requestId = request.header("Baobabcroft-Request-Id");
            if (request.target().equals("/healthz")) {
                Http.respond(out, 200, "Baobabcroft-Instance-Id: " + id + "\r\n", new byte[0]);
                return true;
            }
            String expected = request.header("Baobabcroft-Expect-Instance");
            if (expected != null && !expected.equals(id)) {
                Http.respond(out, 421, "Baobabcroft-Request-Id: " + requestId + "\r\n", new byte[0]);
                return true;
            }
            note("run", id + " " + version + " runs " + requestId + " " + request.first);
            runs.computeIfAbsent(requestId, unused -> new java.util.concurrent.CopyOnWriteArrayList<>())
                    .add(this);
            running.incrementAndGet();
            try {
                Thread.sleep(workMillis);
                byte[] body = bodyOf(requestId);
                if (behaviour.answer(this, request, body, out)) {
                    out.flush();
                    return false;
                }
                Http.respond(out, 200, headersOf(requestId), body);
                return true;
            } finally {
                running.decrementAndGet();
            }
        }

        String headersOf(String requestId) {
            return "Baobabcroft-Request-Id: " + requestId + "\r\nBaobabcroft-Response-Stamp: " + id + "." + requestId
                    + "\r\nContent-Type: text/plain\r\n";
        }
    }

    /** Workers that ran a request, by its id. */
    final Map<String, List<Worker>> runs = new ConcurrentHashMap<>();

    /** The whole body that a worker makes for a request: 800 bytes. */
    static byte[] bodyOf(String requestId) {
        StringBuilder text = new StringBuilder();
        while (text.length() < 800) {
            text.append("body of ").append(requestId).append("; ");
        }
        return Http.bytes(text.substring(0, 800));
    }

    /** One client attempt and what came of it. */
    static final class Call {
        String id;
        String instance;
        long sentMillis;
        long endMillis;
        /** 0: no complete answer. */
        int status;

        byte[] body = {};
        String end = "";
        String stamp = "";

        long millis() {
            return endMillis - sentMillis;
        }
    }

    Rig(String folderName) throws Exception {
        record = new PrintWriter(Path.of(folderName, "record.txt").toFile(), StandardCharsets.UTF_8);
        store = new Store();
        note("rig", "trouble " + trouble);
    }

    long now() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void note(String kind, String text) {
        record.printf("%8.3f %-8s %s%n", now() / 1_000.0, kind, text);
        record.flush();
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = Http.bind(0)) {
            return socket.getLocalPort();
        }
    }

    /** Returns the first of two adjacent ports that are free for TCP and UDP. */
    private static int freePair() throws IOException {
        while (true) {
            int port = freePort();
            try (ServerSocket first = Http.bind(port);
                    ServerSocket second = Http.bind(port + 1);
                    DatagramSocket udp = new DatagramSocket(port, InetAddress.getByName(Http.HOST))) {
                return port;
            } catch (IOException | IllegalArgumentException taken) {
                // Another pair is tried.
            }
        }
    }

    /** Starts a process of the system with the command of the deploy file. */
    Instance start(String name, String zone) throws Exception {
        Instance instance = new Instance();
        instance.name = name;
        instance.zone = zone;
        instance.callers = freePort();
        instance.ready = freePort();
        int peers = freePair();
        String settings = "{\"instance\":\"" + name + "\",\"address\":\"" + Http.HOST + "\",\"peerPorts\":[" + peers + ","
                + (peers + 1) + "],\"linkMegabitsPerSecond\":1000.0,\"maxDescriptors\":4100,\"failureDomain\":\"" + zone
                + "\",\"regions\":{\"zagreb-a\":\"zagreb\",\"split-a\":\"split\",\"osijek-a\":\"osijek\"},"
                + "\"listen\":{\"callers\":\"" + Http.HOST + ":" + instance.callers + "\",\"readiness\":\"" + Http.HOST
                + ":" + instance.ready + "\",\"metricsPort\":" + freePort() + "},\"store\":{\"address\":\"" + Http.HOST
                + ":" + store.port + "\",\"maxValueBytes\":1048576},\"cascade\":{\"keepFromPercent\":50},"
                + "\"endpoints\":{\"maxPauseSeconds\":60},\"bounds\":{\"contactMillis\":4000,\"graceSeconds\":8,"
                + "\"retryRatio\":0.9,\"retrySlack\":58,\"exposureShare\":0.15}}";
        Path file = temporary.resolve(name + ".json");
        Files.writeString(file, settings);
        String run = Files.readAllLines(Path.of("deploy/system.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        List<String> command = List.of(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" "));
        ProcessBuilder builder = new ProcessBuilder(command);
        Map<String, String> kept = Map.copyOf(builder.environment());
        builder.environment().clear();
        for (String variable : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
            if (kept.containsKey(variable)) {
                builder.environment().put(variable, kept.get(variable));
            }
        }
        builder.environment().put("BAOBABCROFT_BOOT", file.toString());
        builder.redirectErrorStream(true).redirectOutput(temporary.resolve(name + ".log").toFile());
        instance.process = builder.start();
        instances.add(instance);
        note("start", name + " in " + zone + ", callers at " + instance.callers);
        return instance;
    }

    /** Waits until all processes are ready. */
    void awaitReady() throws Exception {
        long until = now() + 30_000;
        for (Instance instance : instances) {
            while (!instance.isReady()) {
                if (now() > until || !instance.process.isAlive()) {
                    throw new IllegalStateException(instance.name + " does not get ready");
                }
                Thread.sleep(100);
            }
        }
        note("ready", instances.size() + " processes");
    }

    String newId() {
        return String.format("%016x", 0x9c41d07b00000000L + ids.incrementAndGet());
    }

    /** Sends one request on a new channel and waits for its answer up to the client's time budget. */
    Call call(Instance instance, String method, String path, String headers, byte[] body, int budgetMillis) {
        Call call = new Call();
        call.id = newId();
        call.instance = instance.name;
        call.sentMillis = now();
        note("send", call.id + " " + method + " " + path + " to " + instance.name);
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(Http.HOST, instance.callers), 1_000);
            socket.setSoTimeout(budgetMillis);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + CLIENT_HOST + "\r\nBaobabcroft-Request-Id: "
                    + call.id + "\r\nBaobabcroft-Deadline-Ms: " + budgetMillis + "\r\nAuthorization: Bearer " + KEY
                    + "\r\n" + headers + (body.length > 0 ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n";
            socket.getOutputStream().write(Http.bytes(head));
            socket.getOutputStream().write(body);
            socket.getOutputStream().flush();
            Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()), true, method);
            if (answer == null) {
                call.end = "channel closed without an answer";
            } else if (!answer.whole) {
                call.end = "answer broken off";
            } else {
                call.status = answer.status();
                call.body = answer.body;
                call.stamp = String.valueOf(answer.header("Baobabcroft-Response-Stamp"));
                call.end = "answer " + call.status;
            }
        } catch (IOException failed) {
            call.end = String.valueOf(failed.getMessage());
        }
        call.endMillis = now();
        note("end", call.id + " " + call.end + " after " + call.millis() + " ms");
        return call;
    }

    /** Writes a configuration with one plain service: lookups may repeat, dispatches may not. */
    void configure(long version) {
        configure(version, 16_384);
    }

    void configure(long version, int maxHeaderBytes) {
        store.put("op/config", "{\"version\":" + version + ",\"routes\":["
                + route("lookup", "idempotent", 2) + "," + route("dispatch", "non_idempotent", 1)
                + "],\"services\":[{\"name\":\"orders\",\"health_path\":\"/healthz\",\"max_conns\":110,"
                + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":" + maxHeaderBytes + ","
                + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"" + TENANT + "\",\"api_keys\":[\"" + KEY + "\"]}]}");
    }

    private static String route(String name, String kind, int attempts) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + CLIENT_HOST + "\",\"path_prefix\":\"/" + name
                + "/\",\"kind\":\"" + kind + "\",\"timeout_ms\":1200,\"goal_ms\":400,\"priority\":1,\"service\":\"orders\","
                + "\"attempts\":" + attempts + ",\"public\":false}";
    }

    /** Ends all processes and removes the temporary folder. */
    @Override
    public synchronized void close() {
        for (Instance instance : instances) {
            instance.process.destroyForcibly();
        }
        for (Instance instance : instances) {
            try {
                instance.process.waitFor();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
        record.flush();
        File[] files = temporary.toFile().listFiles();
        for (File file : files == null ? new File[0] : files) {
            file.delete();
        }
        temporary.toFile().delete();
    }

    /** A case: returns whether the rule held. */
    interface Case {
        boolean run(Rig rig) throws Exception;
    }

    static void main(String folder, Case test) {
        int exit = COULD_NOT_RUN;
        try (Rig rig = new Rig(folder)) {
            Runtime.getRuntime().addShutdownHook(new Thread(rig::close));
            Http.thread(() -> {
                Thread.sleep(MAX_RUN_MILLIS);
                rig.close();
                Runtime.getRuntime().halt(COULD_NOT_RUN);
            });
            boolean held = test.run(rig);
            rig.note("rule", held ? "held" : "BROKEN");
            exit = held ? 0 : 1;
        } catch (Throwable failed) {
            failed.printStackTrace();
        }
        Runtime.getRuntime().halt(exit);
    }
}
