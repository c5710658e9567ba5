package baobabcroft.experiment;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Simulated engine with continuous batching: every request in the batch advances by one token per step, and steps take
 * longer with larger batches. Not thread-safe.
 */
final class Engine {
    private static final double STEP_TOLERANCE = 1e-6;

    private final String name;
    private final String failureDomain;
    private final EngineModel model;
    private final EventLoop loop;
    private final List<Job> running = new ArrayList<>();
    private final Deque<Job> queue = new ArrayDeque<>();
    private final LinkedHashMap<Long, Boolean> cache;
    private boolean alive = true;
    private double completedSteps;
    private double advancedAtMillis;
    private long scheduleGeneration;
    private int crashes;

    /** A request submitted to the engine, with the callbacks for its progress. */
    static final class Job {
        private final SimRequest request;
        private final double stepFactor;
        private final Runnable onFirstToken;
        private final Runnable onEnd;
        private final Runnable onLost;
        private double firstTokenStep;
        private double endStep;
        private boolean started;

        Job(SimRequest request, double stepFactor, Runnable onFirstToken, Runnable onEnd, Runnable onLost) {
            this.request = request;
            this.stepFactor = stepFactor;
            this.onFirstToken = onFirstToken;
            this.onEnd = onEnd;
            this.onLost = onLost;
        }
    }

    Engine(String name, String failureDomain, EngineModel model, EventLoop loop) {
        this.name = name;
        this.failureDomain = failureDomain;
        this.model = model;
        this.loop = loop;
        this.cache = new LinkedHashMap<>(16, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                return size() > model.cachedPrefixes();
            }
        };
    }

    String name() {
        return name;
    }

    String failureDomain() {
        return failureDomain;
    }

    EngineModel model() {
        return model;
    }

    boolean isAlive() {
        return alive;
    }

    int runningCount() {
        return running.size();
    }

    int queuedCount() {
        return queue.size();
    }

    int crashes() {
        return crashes;
    }

    void submit(Job job) {
        advance();
        queue.addLast(job);
        fillBatch();
        reschedule();
    }

    void cancel(Job job) {
        advance();
        queue.remove(job);
        running.remove(job);
        fillBatch();
        reschedule();
    }

    /** Drops all requests and the prefix cache, and refuses connections for the given time. */
    void crash(double downMillis) {
        List<Job> lost = new ArrayList<>(running);
        lost.addAll(queue);
        running.clear();
        queue.clear();
        cache.clear();
        alive = false;
        crashes++;
        scheduleGeneration++;
        loop.scheduleAfter(downMillis, () -> alive = true);
        lost.forEach(job -> job.onLost.run());
    }

    private void fillBatch() {
        while (running.size() < model.maxBatch() && !queue.isEmpty()) {
            Job job = queue.pollFirst();
            boolean cached = cache.put(job.request.prefixDigest(), true) != null;
            double prefillTokens = cached ? job.request.suffixTokens() : job.request.promptTokens();
            double prefill = prefillTokens / model.prefillTokensPerStep();
            job.firstTokenStep = completedSteps + (prefill + 1) * job.stepFactor;
            job.endStep = completedSteps + (prefill + job.request.outputTokens()) * job.stepFactor;
            running.add(job);
        }
    }

    private void advance() {
        if (!running.isEmpty()) {
            completedSteps += (loop.nowMillis() - advancedAtMillis) / model.stepMillis(running.size());
        }
        advancedAtMillis = loop.nowMillis();
    }

    private void reschedule() {
        scheduleGeneration++;
        if (running.isEmpty()) {
            return;
        }
        long scheduledGeneration = scheduleGeneration;
        double nextStep = running.stream()
                .mapToDouble(job -> job.started ? job.endStep : job.firstTokenStep)
                .min()
                .orElseThrow();
        double delayMillis = Math.max(0, nextStep - completedSteps) * model.stepMillis(running.size());
        loop.scheduleAfter(delayMillis, () -> {
            if (scheduledGeneration == scheduleGeneration) {
                step();
            }
        });
    }

    private void step() {
        advance();
        List<Runnable> callbacks = new ArrayList<>();
        for (Job job : List.copyOf(running)) {
            if (!job.started && job.firstTokenStep <= completedSteps + STEP_TOLERANCE) {
                job.started = true;
                callbacks.add(job.onFirstToken);
            }
            if (job.started && job.endStep <= completedSteps + STEP_TOLERANCE) {
                running.remove(job);
                callbacks.add(job.onEnd);
            }
        }
        fillBatch();
        reschedule();
        callbacks.forEach(Runnable::run);
    }
}
