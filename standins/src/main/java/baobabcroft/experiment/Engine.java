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
    private static final double EPSILON = 1e-6;

    private final String name;
    private final String failureDomain;
    private final EngineModel model;
    private final EventLoop loop;
    private final List<Job> running = new ArrayList<>();
    private final Deque<Job> queue = new ArrayDeque<>();
    private final LinkedHashMap<Long, Boolean> cache;
    private boolean alive = true;
    private double progress;
    private double advancedAtMillis;
    private long generation;
    private int crashes;

    /** A request submitted to the engine, with the callbacks for its progress. */
    static final class Job {
        private final SimRequest request;
        private final double slowness;
        private final Runnable onFirstToken;
        private final Runnable onEnd;
        private final Runnable onLost;
        private double firstTokenAt;
        private double endAt;
        private boolean started;

        Job(SimRequest request, double slowness, Runnable onFirstToken, Runnable onEnd, Runnable onLost) {
            this.request = request;
            this.slowness = slowness;
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
        generation++;
        loop.after(downMillis, () -> alive = true);
        lost.forEach(job -> job.onLost.run());
    }

    private void fillBatch() {
        while (running.size() < model.maxBatch() && !queue.isEmpty()) {
            Job job = queue.pollFirst();
            boolean cached = cache.put(job.request.prefixDigest(), true) != null;
            double fresh = cached ? job.request.freshTokens() : job.request.promptTokens();
            double prefill = fresh / model.prefillTokensPerStep();
            job.firstTokenAt = progress + (prefill + 1) * job.slowness;
            job.endAt = progress + (prefill + job.request.outputTokens()) * job.slowness;
            running.add(job);
        }
    }

    private void advance() {
        if (!running.isEmpty()) {
            progress += (loop.nowMillis() - advancedAtMillis) / model.stepMillis(running.size());
        }
        advancedAtMillis = loop.nowMillis();
    }

    private void reschedule() {
        generation++;
        if (running.isEmpty()) {
            return;
        }
        long scheduled = generation;
        double next = running.stream()
                .mapToDouble(job -> job.started ? job.endAt : job.firstTokenAt)
                .min()
                .orElseThrow();
        double delayMillis = Math.max(0, next - progress) * model.stepMillis(running.size());
        loop.after(delayMillis, () -> {
            if (scheduled == generation) {
                step();
            }
        });
    }

    private void step() {
        advance();
        List<Runnable> told = new ArrayList<>();
        for (Job job : List.copyOf(running)) {
            if (!job.started && job.firstTokenAt <= progress + EPSILON) {
                job.started = true;
                told.add(job.onFirstToken);
            }
            if (job.started && job.endAt <= progress + EPSILON) {
                running.remove(job);
                told.add(job.onEnd);
            }
        }
        fillBatch();
        reschedule();
        told.forEach(Runnable::run);
    }
}
