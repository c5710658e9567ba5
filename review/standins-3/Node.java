import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A process of the system, started with the run command of the deploy file on a loopback address of its own. */
final class Node {
    final String name;
    final String zone;
    final String host;
    final int frontPort;
    private final int readyPort;
    private final Path settings;
    private final Path log;
    private Process process;

    /**
     * Writes the settings of a node as the deploy file's template would be filled in.
     *
     * @param zones region by zone
     * @param bounds the deployment's bounds, by the names of the template
     */
    Node(String name, String zone, String host, Map<String, Object> zones, Map<String, Object> bounds, String store,
            Path folder) throws IOException {
        this.name = name;
        this.zone = zone;
        this.host = host;
        this.frontPort = freePort(host);
        this.readyPort = freePort(host);
        int peerPort = freePort(host); // The one after it is free as a rule; the system uses both.
        this.settings = folder.resolve(name + ".json");
        this.log = folder.resolve(name + ".log");
        Map<String, Object> root = new LinkedHashMap<>();
        root.put("instance", name);
        root.put("address", host);
        root.put("linkMegabitsPerSecond", 1000.0);
        root.put("maxDescriptors", 4100);
        root.put("failureDomain", zone);
        root.put("regions", zones);
        root.put("listen", Map.of("callers", host + ":" + frontPort, "readiness", host + ":" + readyPort,
                "metricsPort", freePort(host)));
        root.put("store", Map.of("address", store, "maxValueBytes", 1_048_576));
        root.put("cascade", Map.of("keepFromPercent", 50));
        root.put("endpoints", Map.of("maxPauseSeconds", 60));
        root.put("bounds", bounds);
        root.put("peerPorts", List.of(peerPort, peerPort + 1));
        Files.writeString(settings, Json.write(root));
    }

    private static int freePort(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }

    /** Returns the words of the run command in the deploy file. */
    private static List<String> runCommand() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("no run command in deploy/system.toml");
        }
        return List.of(run.group(1).split(" "));
    }

    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(runCommand())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().put("BAOBABCROFT_BOOT", settings.toString());
        process = builder.start();
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    boolean isReady() {
        try {
            HttpURLConnection connection = (HttpURLConnection)
                    URI.create("http://" + host + ":" + readyPort + "/readyz").toURL().openConnection();
            connection.setConnectTimeout(500);
            connection.setReadTimeout(500);
            return connection.getResponseCode() == 200;
        } catch (IOException notReady) {
            return false;
        }
    }

    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    void kill() throws InterruptedException {
        if (process != null) {
            process.destroyForcibly();
            process.waitFor(5, TimeUnit.SECONDS);
        }
    }
}
