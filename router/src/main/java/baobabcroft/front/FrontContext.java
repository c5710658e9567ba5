package baobabcroft.front;

import baobabcroft.relay.CallerExchange;
import baobabcroft.relay.CallerRequest;
import baobabcroft.relay.RelayedRequest;
import baobabcroft.routing.CallerLimits;
import java.util.function.BiFunction;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * What callers' connections need.
 *
 * @param limits what callers may send, at present
 * @param draining whether the instance is stopping
 * @param relay starts to serve a request
 */
record FrontContext(
        Supplier<CallerLimits> limits,
        BooleanSupplier draining,
        BiFunction<CallerRequest, CallerExchange, RelayedRequest> relay) {}
