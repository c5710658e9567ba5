package baobabcroft.acceptance;

import baobabcroft.testing.FreePorts;
import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** Router instance: a name, addresses, a settings file and at most one process at a time. Not thread-safe. */
final class RouterInstance {
    private static final Path JAR = Path.of("..", "router", "target", "baobabcroft-router-1.0.0-all.jar");

    private final String name;
    private final String failureDomain;
    private final Path directory;
    private final int callersPort;
    private final int adminPort;
    private final int peersPort;
    private Process process;

    RouterInstance(String name, String failureDomain, Path folder, FreePorts ports) {
        this.name = name;
        this.failureDomain = failureDomain;
        this.directory = folder;
        this.callersPort = ports.next();
        this.adminPort = ports.next();
        this.peersPort = ports.next();
    }

    String name() {
        return name;
    }

    String failureDomain() {
        return failureDomain;
    }

    HostAndPort peersAddress() {
        return HostAndPort.fromParts("127.0.0.1", peersPort);
    }

    URI callers(String path) {
        return URI.create("http://127.0.0.1:" + callersPort + path);
    }

    URI admin(String path) {
        return URI.create("http://127.0.0.1:" + adminPort + path);
    }

    /** Starts a process, which appends to the instance's log file. */
    void start(URI store, URI liveList, String operatorKeySha256) {
        try {
            Path settings = directory.resolve(name + ".json");
            Files.writeString(settings, settingsJson(store, liveList, operatorKeySha256));
            Path log = directory.resolve(name + ".log");
            process = new ProcessBuilder(
                            ProcessHandle.current().info().command().orElseThrow(),
                            "-Xmx192m",
                            "-XX:+UseSerialGC",
                            "-jar",
                            JAR.toString(),
                            "serve",
                            "--settings",
                            settings.toString())
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                    .start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private String settingsJson(URI store, URI liveList, String operatorKeySha256) {
        return String.format(
                """
                {"instance": {"name": "%s", "failureDomain": "%s", "region": "north"},
                 "listen": {"callers": "127.0.0.1:%d", "admin": "127.0.0.1:%d", "peers": "127.0.0.1:%d"},
                 "platform": {"storeUrls": ["%s"], "liveListUrl": "%s"},
                 "peers": {"sharedKey": "acceptance-shared-key"},
                 "adminKeys": [{"name": "operator", "sha256": "%s"}],
                 "drain": {"balancerNoticeMillis": 200}}
                """,
                name, failureDomain, callersPort, adminPort, peersPort, store, liveList, operatorKeySha256);
    }

    /** Kills the process with SIGKILL and waits for it to exit. */
    void kill() {
        process.destroyForcibly();
        awaitExit();
    }

    /** Sends a signal to the process. */
    void signal(String signal) {
        try {
            Process kill = new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start();
            if (kill.waitFor() != 0) {
                throw new IllegalStateException("kill -" + signal + " failed with " + kill.exitValue());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Waits for the process to exit and returns its exit status; fails after 60 s. */
    int awaitExit() {
        try {
            if (!process.waitFor(60, TimeUnit.SECONDS)) {
                throw new AssertionError(name + " did not exit within 60 s");
            }
            return process.exitValue();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns whether the instance has a running process. */
    boolean isRunning() {
        return process != null && process.isAlive();
    }
}
