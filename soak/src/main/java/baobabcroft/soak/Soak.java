package baobabcroft.soak;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** One run: starts everything, disturbs it, and judges. */
final class Soak {
    private static final long START_TIMEOUT_MILLIS = 60_000;
    private static final long PROGRESS_MILLIS = 10_000;
    private static final double BASE_REQUESTS_PER_SECOND = 40;
    private static final double REQUESTS_PER_SECOND_AND_INSTANCE = 4;
    private static final double MAX_REQUESTS_PER_SECOND = 160;

    private final SoakOptions options;
    private final PrintStream out;
    private final int endpoints;
    private final ImmutableList<Fault> faults;
    private final ConcurrentLinkedQueue<Call> calls = new ConcurrentLinkedQueue<>();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final ExecutorService actions = Executors.newCachedThreadPool();

    Soak(SoakOptions options, PrintStream out) {
        this.options = options;
        this.out = out;
        this.endpoints = 4 + options.instances() / 10;
        this.faults = FaultPlan.draw(
                RandomSource.XO_RO_SHI_RO_128_PP.create(options.seed()),
                options.kinds(),
                options.durationMillis(),
                options.instances(),
                endpoints);
    }

    /** Runs and returns the report. */
    Report run() throws IOException, InterruptedException {
        Path directory = options.createDirectory();
        try (Rig rig = new Rig(options, endpoints, directory, System.nanoTime(), this::schedule)) {
            Thread cleanup = new Thread(rig::close);
            Runtime.getRuntime().addShutdownHook(cleanup);
            try {
                return run(rig, directory);
            } finally {
                Runtime.getRuntime().removeShutdownHook(cleanup);
                timer.shutdownNow();
                actions.shutdownNow();
            }
        }
    }

    private Report run(Rig rig, Path directory) throws IOException, InterruptedException {
        long originNanos = rig.originNanos();
        LongSupplier nowMillis = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - originNanos);
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(~options.seed());
        double requestsPerSecond = Math.min(
                MAX_REQUESTS_PER_SECOND,
                BASE_REQUESTS_PER_SECOND + REQUESTS_PER_SECOND_AND_INSTANCE * options.instances());
        try (Callers callers = new Callers(rig.instances(), random, requestsPerSecond, nowMillis, calls::add)) {
            callers.awaitInstances(START_TIMEOUT_MILLIS);
            long startMillis = nowMillis.getAsLong();
            callers.start();
            faults.forEach(fault -> schedule(rig, callers, fault));
            while (nowMillis.getAsLong() - startMillis < options.durationMillis()) {
                Thread.sleep(Math.min(
                        PROGRESS_MILLIS, Math.max(1, options.durationMillis() + startMillis - nowMillis.getAsLong())));
                out.printf("%5.0f s, %d requests%n", (nowMillis.getAsLong() - startMillis) / 1e3, calls.size());
            }
            callers.stopSending();
            Thread.sleep(Callers.TIMEOUT_MILLIS + 2_000);
            History history = new History(
                            ImmutableList.copyOf(calls),
                            rig.arrivals(),
                            rig.fallsMillis(),
                            faults,
                            options.instances(),
                            endpoints)
                    .startingAt(startMillis);
            Report report = new Report(options, history, Oracle.judge(history));
            report.writeTo(directory);
            return report;
        }
    }

    private void schedule(Rig rig, Callers callers, Fault fault) {
        schedule(fault.atMillis(), () -> {
            callers.setBurst(fault.kind() == FaultKind.BURST);
            rig.begin(fault);
        });
        schedule(fault.endMillis(), () -> {
            callers.setBurst(false);
            rig.end(fault);
        });
    }

    @SuppressWarnings("FutureReturnValueIgnored") // Failures are logged by the task.
    private void schedule(long delayMillis, Runnable task) {
        if (!timer.isShutdown()) {
            timer.schedule(() -> actions.execute(() -> runLogged(task)), delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void runLogged(Runnable task) {
        try {
            task.run();
        } catch (Exception failed) { // Netty throws checked exceptions that it does not declare.
            out.println("a disturbance failed: " + failed);
        }
    }
}
