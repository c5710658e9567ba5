package baobabcroft.load;

import baobabcroft.load.TimedBody.TimedText;
import com.google.common.base.Ticker;
import com.google.common.collect.ImmutableList;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Phaser;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Open-loop load generator: sends each request at its scheduled time, whether or not earlier ones have completed.
 *
 * <p>Latencies count from the scheduled time. A delay of this process, which sends a request late, is therefore part of
 * the measured latency instead of hidden (coordinated omission).
 */
public final class LoadRunner {
    private static final int THREADS = 4;

    private final LoadPlan plan;
    private final RequestBuilder requests;
    private final ImmutableList<TargetRecorder> recorders;
    private final Ticker ticker = Ticker.systemTicker();
    private final Phaser inFlight = new Phaser(1);

    private LoadRunner(LoadPlan plan) {
        this.plan = plan;
        this.requests = new RequestBuilder(plan);
        this.recorders =
                plan.targets().stream().map(target -> new TargetRecorder()).collect(ImmutableList.toImmutableList());
    }

    /**
     * Executes a plan and blocks until every request has completed, failed or timed out.
     *
     * @param plan parameters of the run
     * @return one report per target, in the plan's order
     */
    public static ImmutableList<TargetReport> run(LoadPlan plan) {
        return new LoadRunner(plan).run();
    }

    private ImmutableList<TargetReport> run() {
        ExecutorService executor = Executors.newFixedThreadPool(THREADS, threads("load-%d"));
        ScheduledExecutorService timers = Executors.newSingleThreadScheduledExecutor(threads("load-timer"));
        HttpClient client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .executor(executor)
                .build();
        try {
            sendAll(client, timers);
            inFlight.arriveAndAwaitAdvance();
            return reports();
        } finally {
            timers.shutdownNow();
            executor.shutdown();
        }
    }

    private static java.util.concurrent.ThreadFactory threads(String nameFormat) {
        return new ThreadFactoryBuilder()
                .setNameFormat(nameFormat)
                .setDaemon(true)
                .build();
    }

    private void sendAll(HttpClient client, ScheduledExecutorService timers) {
        int targets = plan.targets().size();
        ArrivalTimes times =
                ArrivalTimes.create(plan.arrivalPattern(), plan.requestsPerSecond() * targets, plan.seed());
        long warmupNanos = TimeUnit.MILLISECONDS.toNanos(plan.warmupMillis());
        long endNanos = warmupNanos + TimeUnit.MILLISECONDS.toNanos(plan.durationMillis());
        long startNanos = ticker.read();
        long number = 0;
        for (long dueNanos = times.nextNanos(); dueNanos < endNanos; dueNanos = times.nextNanos()) {
            waitUntil(startNanos + dueNanos);
            int index = (int) (number % targets);
            TargetRecorder recorder = dueNanos < warmupNanos ? new TargetRecorder() : recorders.get(index);
            send(client, timers, plan.targets().get(index), recorder, new ScheduledSend(number, startNanos + dueNanos));
            number++;
        }
    }

    private record ScheduledSend(long number, long timeNanos) {}

    private void waitUntil(long nanos) {
        long remainingNanos = nanos - ticker.read();
        while (remainingNanos > 0) {
            LockSupport.parkNanos(remainingNanos);
            remainingNanos = nanos - ticker.read();
        }
    }

    private void send(
            HttpClient client,
            ScheduledExecutorService timers,
            LoadTarget target,
            TargetRecorder recorder,
            ScheduledSend send) {
        HttpRequest request = requests.build(target, send.number());
        recorder.recordSent();
        inFlight.register();
        CompletableFuture<HttpResponse<TimedText>> pending = client.sendAsync(request, info -> new TimedBody(ticker));
        var timer = timers.schedule(() -> pending.cancel(true), plan.timeoutMillis(), TimeUnit.MILLISECONDS);
        var unused = pending.whenComplete((response, failure) -> {
            timer.cancel(false);
            recordCompletion(recorder, send, response, failure);
            inFlight.arriveAndDeregister();
        });
    }

    private void recordCompletion(
            TargetRecorder recorder, ScheduledSend send, HttpResponse<TimedText> response, Throwable failure) {
        if (failure != null) {
            recorder.recordFailure(failureKind(failure));
            return;
        }
        TimedText body = response.body();
        recorder.recordResponse(
                response.statusCode(),
                requests.isComplete(body.text()),
                body.firstByteNanos() - send.timeNanos(),
                ticker.read() - send.timeNanos());
    }

    private static String failureKind(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof CancellationException
                ? "timeout"
                : cause.getClass().getSimpleName();
    }

    private ImmutableList<TargetReport> reports() {
        ImmutableList.Builder<TargetReport> reports = ImmutableList.builder();
        List<LoadTarget> targets = plan.targets();
        for (int i = 0; i < targets.size(); i++) {
            reports.add(recorders.get(i).report(targets.get(i).name(), plan.durationMillis()));
        }
        return reports.build();
    }
}
