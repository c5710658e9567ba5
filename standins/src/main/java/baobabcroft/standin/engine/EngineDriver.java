package baobabcroft.standin.engine;

import baobabcroft.standin.http.DelayedTasks;
import com.google.common.util.concurrent.Futures;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Queue;
import java.util.concurrent.Future;
import java.util.function.Consumer;

/** Runs an engine model in real time. Thread-safe. Listeners are called with the lock held and must not block. */
final class EngineDriver {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double MICROS_PER_MILLI = 1e3;

    private final EngineModel model;
    private final long startNanos = System.nanoTime();
    private final Map<Long, Consumer<EngineEvent>> listeners = new HashMap<>();
    private final Queue<EngineEvent> pending = new ArrayDeque<>();
    private boolean dispatching;
    private Future<?> nextTick = Futures.immediateVoidFuture();

    EngineDriver(EngineSettings settings) {
        this.model = EngineModel.create(settings);
    }

    private double nowMillis() {
        return (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
    }

    synchronized void submit(EngineRequest request, Consumer<EngineEvent> listener) {
        listeners.put(request.id(), listener);
        dispatch(model.submit(request, nowMillis()));
    }

    synchronized void cancel(long requestId) {
        if (listeners.remove(requestId) != null) {
            dispatch(model.cancel(requestId, nowMillis()));
        }
    }

    synchronized void setSlowFactor(double factor) {
        dispatch(model.setSlowFactor(factor, nowMillis()));
    }

    synchronized EngineLoad reportedLoad() {
        return model.reportedLoad(nowMillis());
    }

    synchronized EngineLoad load() {
        return model.load();
    }

    synchronized long cancelledCount() {
        return model.cancelledCount();
    }

    synchronized long cachedTokenCount() {
        return model.cachedTokenCount();
    }

    private synchronized void advance() {
        dispatch(model.advance(nowMillis()));
    }

    /** Delivers events to listeners in order. Events caused by a listener, such as by a cancellation, are queued. */
    private void dispatch(List<EngineEvent> events) {
        pending.addAll(events);
        if (dispatching) {
            return;
        }
        dispatching = true;
        try {
            while (!pending.isEmpty()) {
                deliver(pending.remove());
            }
        } finally {
            dispatching = false;
        }
        scheduleTick();
    }

    private void deliver(EngineEvent event) {
        Consumer<EngineEvent> listener = event.kind() == EngineEvent.Kind.FINISHED
                ? listeners.remove(event.requestId())
                : listeners.get(event.requestId());
        if (listener != null) {
            listener.accept(event);
        }
    }

    private void scheduleTick() {
        nextTick.cancel(false);
        OptionalDouble next = model.nextEventMillis();
        if (next.isPresent()) {
            double delayMicros = (next.getAsDouble() - nowMillis()) * MICROS_PER_MILLI;
            nextTick = DelayedTasks.runMicros(Math.max(0, (long) Math.ceil(delayMicros)), this::advance);
        }
    }
}
