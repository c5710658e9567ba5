package baobabcroft.serve;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import baobabcroft.settings.Settings;
import java.io.PrintStream;
import java.net.BindException;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Runs an instance in this process until it is stopped by a signal or by the drain command. */
public final class InstanceProcess {
    private static final int EXIT_OK = 0;
    private static final int EXIT_FAULT = 1;
    private static final long STOP_MARGIN_MILLIS = 5_000;

    private InstanceProcess() {}

    /**
     * Runs an instance and blocks until it has stopped after SIGTERM, SIGINT or the drain command.
     *
     * @param settings the instance's settings
     * @param errors receives a one-line error message if the instance cannot start
     * @return the exit status: 0 after a planned stop, 1 if the instance could not start
     */
    public static int run(Settings settings, PrintStream errors) {
        checkNotNull(settings);
        checkNotNull(errors);
        InstanceServer server;
        try {
            server = InstanceServer.start(settings).toCompletableFuture().join();
        } catch (RuntimeException failure) {
            errors.println("cannot start: " + reason(failure));
            return EXIT_FAULT;
        }
        stopOnSignal(server, settings);
        server.whenStopped().toCompletableFuture().join();
        return EXIT_OK;
    }

    private static String reason(Throwable failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (cause instanceof BindException) {
                return "an address is in use or does not belong to this machine: " + cause.getMessage();
            }
        }
        return String.valueOf(failure instanceof CompletionException ? failure.getCause() : failure);
    }

    /**
     * Registers a shutdown hook that stops the instance and sets the exit status.
     *
     * <p>The hook halts the process, because that is the only way to change the exit status of a JVM that is already
     * shutting down: a planned stop by a signal must end with status 0.
     */
    private static void stopOnSignal(InstanceServer server, Settings settings) {
        long waitMillis = settings.drain().balancerNoticeMillis()
                + 3 * settings.drain().drainTimeoutMillis()
                + STOP_MARGIN_MILLIS;
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> Runtime.getRuntime().halt(stop(server, waitMillis))));
    }

    private static int stop(InstanceServer server, long waitMillis) {
        server.stop();
        try {
            server.whenStopped().toCompletableFuture().get(waitMillis, TimeUnit.MILLISECONDS);
            return EXIT_OK;
        } catch (InterruptedException | ExecutionException | TimeoutException unfinished) {
            EventLog.of(InstanceProcess.class).logFailure(LogEvent.INTERNAL_FAULT, unfinished, "stop");
            return EXIT_FAULT;
        }
    }
}
