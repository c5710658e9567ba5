import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.HttpURLConnection;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One process of the project, started with the run command and the settings template of the deploy file. */
final class Instance implements AutoCloseable {
    /** Ports of all instances; each instance has an address of its own. */
    static final int FRONT_PORT = freePort();

    private static final int READY_PORT = freePort();
    private static final int FIRST_PEER_PORT =
            7340 + 16 * ThreadLocalRandom.current().nextInt(100);

    final String name;
    final String host;
    private final Path repository;
    private final Path settings;
    private final Path log;
    private Process process;

    Instance(String name, String host, String zone, Path repository, Path folder, String store) throws IOException {
        this.name = name;
        this.host = host;
        this.repository = repository;
        this.settings = folder.resolve(name + ".json");
        this.log = folder.resolve(name + ".log");
        Files.writeString(settings, settings(zone, store));
    }

    private String settings(String zone, String store) throws IOException {
        Map<String, String> values = Map.ofEntries(
                Map.entry("node", quoted(name)),
                Map.entry("ip", quoted(host)),
                Map.entry("port_range", "[" + FIRST_PEER_PORT + "," + (FIRST_PEER_PORT + 15) + "]"),
                Map.entry("limits.link_mbps", "1000.0"),
                Map.entry("zone", quoted(zone)),
                Map.entry(
                        "zones",
                        "{\"fukuoka-a\":\"fukuoka\",\"kumamoto-a\":\"kumamoto\",\"kagoshima-a\":\"kagoshima\"}"),
                Map.entry("listen.front", quoted(host + ":" + FRONT_PORT)),
                Map.entry("listen.ready", quoted(host + ":" + READY_PORT)),
                Map.entry("provider.addr", quoted(store)),
                Map.entry("provider.value_bytes", "1048576"),
                Map.entry("bounds.contact_ms", "4000"),
                Map.entry("bounds.grace_s", "8"),
                Map.entry("bounds.retry_ratio", "0.9"),
                Map.entry("bounds.retry_slack", "52"),
                Map.entry("bounds.expose_share", "0.15"));
        String template = Files.readString(repository.resolve("deploy/settings.json.template"))
                .replace("{{#limits.link_mbps}}", "")
                .replace("{{/limits.link_mbps}}", "");
        Matcher field = Pattern.compile("\\{\\{([a-z_.]+)\\|json}}").matcher(template);
        StringBuilder text = new StringBuilder();
        while (field.find()) {
            field.appendReplacement(text, Matcher.quoteReplacement(values.get(field.group(1))));
        }
        field.appendTail(text);
        return text.toString();
    }

    private static int freePort() {
        try (ServerSocket probe = new ServerSocket(0)) {
            return probe.getLocalPort();
        } catch (IOException failed) {
            throw new UncheckedIOException(failed);
        }
    }

    private static String quoted(String text) {
        return "\"" + text + "\"";
    }

    /** Starts the process. */
    void start() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
                .matcher(Files.readString(repository.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("no run command in deploy/system.toml");
        }
        ProcessBuilder builder = new ProcessBuilder(List.of(run.group(1).split(" ")));
        builder.directory(repository.toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("BAOBABCROFT_BOOT", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
    }

    /** Sends a signal, by its name without SIG. */
    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                .inheritIO()
                .start()
                .waitFor();
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Returns the exit status once the process has ended, or -1 if it has not within the time. */
    int awaitExit(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS) ? process.exitValue() : -1;
    }

    /** Returns the status of the readiness page; 0 if there is no answer. */
    int readiness() {
        try {
            HttpURLConnection connection =
                    (HttpURLConnection) URI.create("http://" + host + ":" + READY_PORT + "/readyz")
                            .toURL()
                            .openConnection();
            connection.setConnectTimeout(1_000);
            connection.setReadTimeout(1_000);
            return connection.getResponseCode();
        } catch (IOException unreachable) {
            return 0;
        }
    }

    /** Waits until the readiness page answers 200; returns whether it did in time. */
    boolean awaitReady(long millis) throws InterruptedException {
        long until = System.currentTimeMillis() + millis;
        while (System.currentTimeMillis() < until) {
            if (readiness() == 200) {
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    /** Returns the lines that the process has logged and that contain a text. */
    List<String> logged(String text) throws IOException {
        List<String> found = new ArrayList<>();
        for (String line : Files.readAllLines(log)) {
            if (line.contains(text)) {
                found.add(line);
            }
        }
        return found;
    }

    @Override
    public void close() throws InterruptedException {
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
    }
}
