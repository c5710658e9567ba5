package baobabcroft.soak;

import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** An instance: its settings file and at most one process at a time. Thread-safe. */
final class InstanceProcess implements AutoCloseable {
    private static final long EXIT_TIMEOUT_MILLIS = 30_000;
    private static final List<String> JAVA_OPTIONS =
            List.of("-Xmx160m", "-Xss256k", "-XX:-UsePerfData", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");

    private final String name;
    private final Path jar;
    private final Path hosts;
    private final Path settings;
    private final Path log;
    private final int callersPort;
    private volatile Process process;

    /**
     * Ports of an instance.
     *
     * @param callers for callers
     * @param readiness for readiness probes
     * @param metrics for metrics
     * @param peers the first of two for other instances
     */
    record Ports(int callers, int readiness, int metrics, int peers) {}

    InstanceProcess(int number, Path jar, Path directory, Path hosts, Ports ports, HostAndPort store)
            throws IOException {
        this.name = "instance-" + number;
        this.jar = jar;
        this.hosts = hosts;
        this.settings = directory.resolve(name + ".json");
        this.log = directory.resolve(name + ".log");
        this.callersPort = ports.callers();
        Files.deleteIfExists(log);
        Files.writeString(
                settings,
                String.format(
                        Locale.ROOT,
                        """
                        {"instance":"%s","address":"127.0.0.1","peerPorts":[%d,%d],"failureDomain":"%s",
                         "regions":{"zone-0":"north","zone-1":"north","zone-2":"south"},
                         "listen":{"callers":"127.0.0.1:%d","readiness":"127.0.0.1:%d","metricsPort":%d},
                         "store":{"address":"%s"},"cascade":{"keepFromPercent":50},
                         "endpoints":{"hostNames":true},
                         "bounds":{"contactMillis":%d,"graceSeconds":8,"retryRatio":0.2,"retrySlack":10,
                          "exposureShare":0.1}}
                        """,
                        name,
                        ports.peers(),
                        ports.peers() + 1,
                        Placement.failureDomain(number),
                        ports.callers(),
                        ports.readiness(),
                        ports.metrics(),
                        store,
                        Oracle.CONTACT_MILLIS));
    }

    int callersPort() {
        return callersPort;
    }

    /** Starts a process, unless one runs. */
    synchronized void start() {
        if (process != null && process.isAlive()) {
            return;
        }
        try {
            ProcessBuilder builder = new ProcessBuilder();
            builder.command().add(ProcessHandle.current().info().command().orElse("java"));
            builder.command().addAll(JAVA_OPTIONS);
            builder.command().addAll(List.of("-Djdk.net.hosts.file=" + hosts, "-jar", jar.toString()));
            builder.environment().put("BAOBABCROFT_BOOT", settings.toString());
            process = builder.redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                    .start();
        } catch (IOException failed) {
            throw new UncheckedIOException(failed);
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Sends a signal, such as {@code STOP}, if the process runs. */
    void signal(String signal) {
        if (!process.isAlive()) {
            return;
        }
        try {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        } catch (IOException failed) {
            throw new UncheckedIOException(failed);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Kills the process and waits until it is gone. */
    void kill() {
        process.destroyForcibly();
        awaitExit();
    }

    /** Waits until the process is gone, and kills it if that takes too long. */
    void awaitExit() {
        try {
            if (!process.waitFor(EXIT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
                process.destroyForcibly().waitFor();
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
