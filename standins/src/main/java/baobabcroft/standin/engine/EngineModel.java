package baobabcroft.standin.engine;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.TreeSet;

/**
 * Simulation of continuous batching with a prefix cache. Callers pass in the time.
 *
 * <p>All running requests advance concurrently, and each further request slows down all of them. A request first
 * prefills the uncached part of its prompt, then decodes its answer token by token. Not thread-safe.
 */
public final class EngineModel {
    private static final double EPSILON_MILLIS = 1e-6;

    private final EngineSettings settings;
    private final PrefixCache cache;
    private final Map<Long, Running> running = new LinkedHashMap<>();
    private final TreeSet<Waiting> waiting = new TreeSet<>(
            Comparator.comparingInt((Waiting entry) -> -entry.request().priority())
                    .thenComparingLong(Waiting::sequence));
    private final Deque<EngineLoad> loads = new ArrayDeque<>();
    private double nowMillis;
    private double slowFactor = 1;
    private long sequence;
    private long kvTokens;
    private long cancelled;
    private long cachedTokens;

    private EngineModel(EngineSettings settings) {
        this.settings = checkNotNull(settings);
        this.cache = new PrefixCache(settings.prefixCacheBlocks());
        loads.add(new EngineLoad(0, 0, 0, 0));
    }

    /**
     * Returns an idle engine at time 0.
     *
     * @param settings capacity and speed of the engine
     * @return the engine
     */
    public static EngineModel create(EngineSettings settings) {
        return new EngineModel(settings);
    }

    private record Waiting(EngineRequest request, long sequence) {}

    private static final class Running {
        private final EngineRequest request;
        private double prefillMillis;
        private double decodeMillis;
        private int tokens;

        private Running(EngineRequest request, double prefillMillis, double tokenMillis) {
            this.request = request;
            this.prefillMillis = prefillMillis + tokenMillis;
            this.decodeMillis = tokenMillis * (request.answerTokens() - 1);
        }

        private double remainingMillisToNextEvent(double tokenMillis) {
            if (tokens == 0) {
                return prefillMillis;
            }
            if (!request.tokenEvents()) {
                return decodeMillis;
            }
            return decodeMillis - tokenMillis * (request.answerTokens() - 1 - tokens);
        }

        private void work(double millis) {
            if (tokens == 0) {
                prefillMillis -= millis;
            } else {
                decodeMillis -= millis;
            }
        }
    }

    /**
     * Advances the time and enqueues a request.
     *
     * @param request the request; its answer has at least one token
     * @param atMillis the current time, in milliseconds; must not decrease
     * @return the events up to and including that time, in order
     */
    public List<EngineEvent> submit(EngineRequest request, double atMillis) {
        checkArgument(request.answerTokens() > 0, "answerTokens must be positive: %s", request);
        List<EngineEvent> events = new ArrayList<>(advance(atMillis));
        waiting.add(new Waiting(request, sequence++));
        fillBatch(events);
        recordLoad();
        return events;
    }

    /**
     * Advances the time and cancels a request, running or queued. Its batch slot and KV cache are freed immediately.
     *
     * @param requestId identifier of the request; ignored if unknown or finished
     * @param atMillis the current time, in milliseconds; must not decrease
     * @return the events up to and including that time, in order
     */
    public List<EngineEvent> cancel(long requestId, double atMillis) {
        List<EngineEvent> events = new ArrayList<>(advance(atMillis));
        Running stopped = running.remove(requestId);
        if (stopped != null) {
            kvTokens -= kvTokensOf(stopped.request);
        }
        if (stopped != null || waiting.removeIf(entry -> entry.request().id() == requestId)) {
            cancelled++;
        }
        fillBatch(events);
        recordLoad();
        return events;
    }

    /**
     * Advances the time.
     *
     * @param atMillis the current time, in milliseconds; must not decrease
     * @return the events up to and including that time, in order
     */
    public List<EngineEvent> advance(double atMillis) {
        checkArgument(atMillis >= nowMillis, "time went backwards from %s to %s", nowMillis, atMillis);
        List<EngineEvent> events = new ArrayList<>();
        OptionalDouble next = nextEventMillis();
        while (next.isPresent() && next.getAsDouble() <= atMillis) {
            workUntil(next.getAsDouble());
            collectEvents(events);
            next = nextEventMillis();
        }
        workUntil(atMillis);
        return ImmutableList.copyOf(events);
    }

    /**
     * Returns the time of the next event, provided that no request is submitted or cancelled before it.
     *
     * @return the time in milliseconds, or empty if no request is running
     */
    public OptionalDouble nextEventMillis() {
        double factor = slowdown();
        OptionalDouble work = running.values().stream()
                .mapToDouble(entry -> entry.remainingMillisToNextEvent(settings.tokenMillis()))
                .min();
        return work.isPresent()
                ? OptionalDouble.of(nowMillis + Math.max(0, work.getAsDouble()) * factor)
                : OptionalDouble.empty();
    }

    private double slowdown() {
        return slowFactor * (1 + settings.batchSlowdown() * Math.max(0, running.size() - 1));
    }

    private void workUntil(double atMillis) {
        double work = (atMillis - nowMillis) / slowdown();
        running.values().forEach(entry -> entry.work(work));
        nowMillis = Math.max(nowMillis, atMillis);
    }

    private void collectEvents(List<EngineEvent> events) {
        List<Running> finished = new ArrayList<>();
        for (Running entry : running.values()) {
            if (entry.remainingMillisToNextEvent(settings.tokenMillis()) <= EPSILON_MILLIS) {
                advanceRequest(entry, events, finished);
            }
        }
        finished.forEach(this::release);
        if (!finished.isEmpty()) {
            fillBatch(events);
            recordLoad();
        }
    }

    private void advanceRequest(Running entry, List<EngineEvent> events, List<Running> finished) {
        EngineRequest request = entry.request;
        boolean first = entry.tokens == 0;
        entry.tokens = first || request.tokenEvents() ? entry.tokens + 1 : request.answerTokens();
        if (first) {
            events.add(event(EngineEvent.Kind.FIRST_TOKEN, entry));
        } else if (request.tokenEvents()) {
            events.add(event(EngineEvent.Kind.TOKEN, entry));
        }
        if (entry.tokens == request.answerTokens()) {
            events.add(event(EngineEvent.Kind.FINISHED, entry));
            finished.add(entry);
        }
    }

    private EngineEvent event(EngineEvent.Kind kind, Running entry) {
        return new EngineEvent(kind, entry.request.id(), nowMillis, entry.tokens);
    }

    private void release(Running entry) {
        running.remove(entry.request.id());
        kvTokens -= kvTokensOf(entry.request);
    }

    private static int kvTokensOf(EngineRequest request) {
        return request.promptTokens() + request.answerTokens();
    }

    private void fillBatch(List<EngineEvent> events) {
        while (!waiting.isEmpty() && fits(waiting.first().request())) {
            start(waiting.pollFirst().request(), events);
        }
    }

    private boolean fits(EngineRequest request) {
        boolean memory = running.isEmpty() || kvTokens + kvTokensOf(request) <= settings.kvCacheTokens();
        return running.size() < settings.maxBatch() && memory;
    }

    private void start(EngineRequest request, List<EngineEvent> events) {
        int hits = Math.min(request.promptTokens(), cache.lookUpAndInsert(request.blocks()) * settings.blockTokens());
        cachedTokens += hits;
        double prefillMillis = (request.promptTokens() - hits) * settings.prefillMillisPerToken();
        Running entry = new Running(request, prefillMillis, settings.tokenMillis());
        running.put(request.id(), entry);
        kvTokens += kvTokensOf(request);
        events.add(event(EngineEvent.Kind.STARTED, entry));
    }

    private void recordLoad() {
        double use = Math.min(1, (double) kvTokens / settings.kvCacheTokens());
        loads.addLast(new EngineLoad(nowMillis, running.size(), waiting.size(), use));
        dropLoadsBefore(nowMillis - settings.reportLagMillis());
    }

    private void dropLoadsBefore(double millis) {
        while (loads.size() > 1 && secondLoadMillis() <= millis) {
            loads.removeFirst();
        }
    }

    private double secondLoadMillis() {
        var first = loads.iterator();
        first.next();
        return first.next().atMillis();
    }

    /**
     * Returns the load that the engine reports, which lags behind the actual load by the configured report lag.
     *
     * @param atMillis the current time, in milliseconds
     * @return the load at the earlier time
     */
    public EngineLoad reportedLoad(double atMillis) {
        dropLoadsBefore(atMillis - settings.reportLagMillis());
        return loads.getFirst();
    }

    /**
     * Returns the actual load, without the report lag.
     *
     * @return the load after the last change
     */
    public EngineLoad load() {
        return loads.getLast();
    }

    /**
     * Advances the time and sets the slowdown factor of all later work.
     *
     * @param factor positive multiplier of processing times; 1 for normal speed, 2 for half speed
     * @param atMillis the current time, in milliseconds; must not decrease
     * @return the events up to and including that time, in order
     */
    public List<EngineEvent> setSlowFactor(double factor, double atMillis) {
        checkArgument(factor > 0, "factor must be positive, was %s", factor);
        List<EngineEvent> events = advance(atMillis);
        slowFactor = factor;
        return events;
    }

    /**
     * Returns the number of requests cancelled while queued or running.
     *
     * @return the number of cancelled requests
     */
    public long cancelledCount() {
        return cancelled;
    }

    /**
     * Returns the number of prompt tokens served from the prefix cache.
     *
     * @return the number of cached tokens
     */
    public long cachedTokenCount() {
        return cachedTokens;
    }
}
