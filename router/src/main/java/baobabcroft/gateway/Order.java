package baobabcroft.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalLong;
import java.util.function.Function;

/**
 * What the dispatcher needs to send a request to an endpoint.
 *
 * @param caller the caller's request
 * @param bodyDigest digest of the request's body, by which crashes are counted
 * @param repeatable whether running it twice does no harm
 * @param prefixDigest digest of the prompt's beginning, if requests with the same one profit from the same endpoint
 * @param tokenBound tokens that the answer may have, if it is a chat with a bound
 * @param target finds the target under the rules in force; called again before every send, may refuse
 * @param permit asked right before every send
 * @param maxAttemptMillis longest time to wait for one endpoint's answer, in milliseconds
 */
record Order(
        CallerRequest caller,
        String bodyDigest,
        boolean repeatable,
        OptionalLong prefixDigest,
        OptionalLong tokenBound,
        Function<RulesSnapshot, Target> target,
        SendPermit permit,
        long maxAttemptMillis) {
    Order {
        checkNotNull(caller);
        checkNotNull(bodyDigest);
        checkNotNull(prefixDigest);
        checkNotNull(tokenBound);
        checkNotNull(target);
        checkNotNull(permit);
    }
}
