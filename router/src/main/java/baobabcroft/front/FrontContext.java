package baobabcroft.front;

import baobabcroft.memory.MemoryBudget;
import baobabcroft.relay.CallerExchange;
import baobabcroft.relay.CallerRequest;
import baobabcroft.relay.RequestInProgress;
import baobabcroft.routing.CallerLimits;
import java.util.function.BiFunction;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Dependencies that all caller connections share.
 *
 * @param limits current limits on callers' requests
 * @param memory memory of the instance
 * @param reclaimer takes memory back from connections without progress
 * @param draining whether the instance is draining before a stop
 * @param nowMillis monotonic clock, in milliseconds
 * @param relay starts serving a request
 */
record FrontContext(
        Supplier<CallerLimits> limits,
        MemoryBudget memory,
        ConnectionReclaimer reclaimer,
        BooleanSupplier draining,
        LongSupplier nowMillis,
        BiFunction<CallerRequest, CallerExchange, RequestInProgress> relay) {}
