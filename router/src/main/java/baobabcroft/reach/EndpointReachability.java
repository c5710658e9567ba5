package baobabcroft.reach;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.common.Scheduler;
import baobabcroft.directory.EndpointEntry;
import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Finds out whether this instance is cut off from all endpoints.
 *
 * <p>Connections that fail are no proof, as endpoints fail, too. After a failure, connections to several endpoints of
 * different services and failure domains are tried at the same time: the instance is isolated if none is accepted.
 * While it is, a few endpoints are tried at intervals; after the first success, requests return to the endpoints
 * gradually. Not thread-safe.
 */
public final class EndpointReachability {
    /** Endpoints tried before the instance counts as isolated. */
    private static final int VERIFIED_ENDPOINTS = 8;
    /** Endpoints tried at a time while the instance is isolated. */
    private static final int RETRIED_ENDPOINTS = 3;
    /** Mean interval of these tries, in milliseconds. */
    private static final long RETRY_INTERVAL_MILLIS = 400;
    /** Time after an accepted connection in which failures raise no suspicion, in milliseconds. */
    private static final long RECENT_CONTACT_MILLIS = 100;
    /** Shortest time between two verifications that found the endpoints reachable, in milliseconds. */
    private static final long VERIFICATION_INTERVAL_MILLIS = 500;
    /** Shortest time in which all requests return to the endpoints, in milliseconds. */
    private static final long MIN_RETURN_MILLIS = 1_000;
    /** Range of that time, which differs from instance to instance, in milliseconds. */
    private static final long RETURN_RANGE_MILLIS = 1_000;

    private final Supplier<ImmutableList<EndpointEntry>> endpoints;
    private final BiConsumer<EndpointEntry, Consumer<Boolean>> acceptsConnections;
    private final Scheduler scheduler;
    private final LongSupplier nowMillis;
    private final DoubleSupplier random;
    private final Listener listener;
    private final List<Consumer<Boolean>> waiting = new ArrayList<>();
    private State state = State.REACHABLE;
    private long contactAtMillis = Long.MIN_VALUE;
    private long verifiedAtMillis = Long.MIN_VALUE;
    private long isolatedAtMillis;
    private long returnStartedAtMillis;
    private long returnMillis;

    private enum State {
        /** Endpoints accept connections, as far as is known. */
        REACHABLE,
        /** Several endpoints are being tried. */
        VERIFYING,
        /** No endpoint accepts connections. */
        ISOLATED,
        /** Endpoints accept connections again; part of the requests are still sent another way. */
        RETURNING
    }

    /** Notified of changes. */
    public interface Listener {
        /**
         * Called when this instance has found that it is cut off from all endpoints.
         *
         * @param triedEndpoints number of endpoints of which none accepted a connection
         */
        void onIsolated(int triedEndpoints);

        /**
         * Called when an endpoint has accepted a connection again.
         *
         * @param isolatedMillis time since {@link #onIsolated}, in milliseconds
         */
        void onReachable(long isolatedMillis);
    }

    private EndpointReachability(
            Supplier<ImmutableList<EndpointEntry>> endpoints,
            BiConsumer<EndpointEntry, Consumer<Boolean>> acceptsConnections,
            Scheduler scheduler,
            LongSupplier nowMillis,
            DoubleSupplier random,
            Listener listener) {
        this.endpoints = endpoints;
        this.acceptsConnections = acceptsConnections;
        this.scheduler = scheduler;
        this.nowMillis = nowMillis;
        this.random = random;
        this.listener = listener;
    }

    /**
     * Returns an object for an instance that reaches the endpoints.
     *
     * @param endpoints supplies the endpoints that are listed and not leaving
     * @param acceptsConnections finds out whether an endpoint accepts connections; calls back once
     * @param scheduler runs the repeated tries
     * @param nowMillis monotonic clock, in milliseconds
     * @param random source of numbers in [0, 1)
     * @param listener notified of changes
     * @return the new object
     */
    public static EndpointReachability create(
            Supplier<ImmutableList<EndpointEntry>> endpoints,
            BiConsumer<EndpointEntry, Consumer<Boolean>> acceptsConnections,
            Scheduler scheduler,
            LongSupplier nowMillis,
            DoubleSupplier random,
            Listener listener) {
        return new EndpointReachability(
                checkNotNull(endpoints),
                checkNotNull(acceptsConnections),
                checkNotNull(scheduler),
                checkNotNull(nowMillis),
                checkNotNull(random),
                checkNotNull(listener));
    }

    /** Called when an endpoint has accepted a connection. */
    public void onConnected() {
        contactAtMillis = nowMillis.getAsLong();
        if (state == State.VERIFYING) {
            verifiedAtMillis = contactAtMillis;
            state = State.REACHABLE;
            callBack(true);
        } else if (state == State.ISOLATED) {
            state = State.RETURNING;
            returnStartedAtMillis = contactAtMillis;
            returnMillis = MIN_RETURN_MILLIS + (long) (random.getAsDouble() * RETURN_RANGE_MILLIS);
            listener.onReachable(contactAtMillis - isolatedAtMillis);
        }
    }

    /** Called when a connection to an endpoint could not be opened or was lost. */
    public void onFailure() {
        long now = nowMillis.getAsLong();
        boolean mayBeIsolated = state == State.REACHABLE || state == State.RETURNING;
        if (mayBeIsolated
                && contactAtMillis + RECENT_CONTACT_MILLIS <= now
                && verifiedAtMillis + VERIFICATION_INTERVAL_MILLIS <= now) {
            verify();
        }
    }

    /**
     * Finds out whether an endpoint has failed: it accepts no connection, while another one does.
     *
     * @param endpoint the endpoint
     * @param callback called once, with false if the endpoint accepts connections, or none does
     */
    public void checkFailed(EndpointEntry endpoint, Consumer<Boolean> callback) {
        checkNotNull(callback);
        long startedAtMillis = nowMillis.getAsLong();
        acceptsConnections.accept(endpoint, accepted -> {
            if (accepted) {
                onConnected();
                callback.accept(false);
            } else if (contactAtMillis >= startedAtMillis) {
                callback.accept(true);
            } else {
                whenVerified(callback);
            }
        });
    }

    /** Finds out whether this instance reaches any endpoint. */
    private void whenVerified(Consumer<Boolean> callback) {
        if (state == State.ISOLATED) {
            callback.accept(false);
            return;
        }
        waiting.add(callback);
        if (state != State.VERIFYING) {
            verify();
        }
    }

    /**
     * Returns whether this instance is cut off from all endpoints.
     *
     * @return false also while that is being found out
     */
    public boolean isIsolated() {
        return state == State.ISOLATED;
    }

    /**
     * Decides for one request whether it is to be sent to an endpoint by this instance.
     *
     * @return false while this instance is isolated, and for a share of the requests shortly afterwards
     */
    public boolean drawsDirect() {
        if (state == State.RETURNING && nowMillis.getAsLong() - returnStartedAtMillis >= returnMillis) {
            state = State.REACHABLE;
        }
        return state == State.RETURNING
                ? random.getAsDouble() * returnMillis < nowMillis.getAsLong() - returnStartedAtMillis
                : state != State.ISOLATED;
    }

    private void verify() {
        state = State.VERIFYING;
        ImmutableList<EndpointEntry> tried = draw(VERIFIED_ENDPOINTS);
        if (tried.isEmpty()) {
            onVerified(0);
            return;
        }
        tryAll(tried, () -> onVerified(tried.size()));
    }

    /** Tries endpoints; successes count as contact. Runs the task once all have failed or answered. */
    private void tryAll(ImmutableList<EndpointEntry> tried, Runnable whenDone) {
        int[] open = {tried.size()};
        for (EndpointEntry endpoint : tried) {
            acceptsConnections.accept(endpoint, accepted -> {
                if (accepted) {
                    onConnected();
                }
                open[0]--;
                if (open[0] == 0) {
                    whenDone.run();
                }
            });
        }
    }

    private void onVerified(int triedEndpoints) {
        if (state != State.VERIFYING) {
            return;
        }
        if (triedEndpoints == 0) {
            state = State.REACHABLE;
            callBack(true);
            return;
        }
        state = State.ISOLATED;
        isolatedAtMillis = nowMillis.getAsLong();
        listener.onIsolated(triedEndpoints);
        callBack(false);
        scheduleRetry();
    }

    private void callBack(boolean reachable) {
        List<Consumer<Boolean>> callbacks = List.copyOf(waiting);
        waiting.clear();
        callbacks.forEach(callback -> callback.accept(reachable));
    }

    private void scheduleRetry() {
        scheduler.schedule((long) (RETRY_INTERVAL_MILLIS * (0.5 + random.getAsDouble())), this::retry);
    }

    private void retry() {
        if (state == State.ISOLATED) {
            tryAll(draw(RETRIED_ENDPOINTS), () -> {});
            scheduleRetry();
        }
    }

    /** Draws endpoints of as many services and failure domains as possible. */
    private ImmutableList<EndpointEntry> draw(int count) {
        List<EndpointEntry> left = new ArrayList<>(endpoints.get());
        List<EndpointEntry> drawn = new ArrayList<>();
        while (drawn.size() < count && !left.isEmpty()) {
            EndpointEntry best = left.get(0);
            double bestScore = Double.MAX_VALUE;
            for (EndpointEntry candidate : left) {
                double score = random.getAsDouble()
                        + drawn.stream()
                                .filter(other -> isAlike(other, candidate))
                                .count();
                if (score < bestScore) {
                    best = candidate;
                    bestScore = score;
                }
            }
            left.remove(best);
            drawn.add(best);
        }
        return ImmutableList.copyOf(drawn);
    }

    private static boolean isAlike(EndpointEntry first, EndpointEntry second) {
        return first.service().equals(second.service()) || first.failureDomain().equals(second.failureDomain());
    }
}
