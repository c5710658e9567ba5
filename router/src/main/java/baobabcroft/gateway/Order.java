package baobabcroft.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalLong;
import java.util.function.Function;

/**
 * A request for the dispatcher to send.
 *
 * @param caller metadata of the caller's request
 * @param bodyDigest digest of the request, used to count the crashes that it causes
 * @param repeatable whether the request is idempotent
 * @param prefixDigest digest of the start of the prompt; requests with the same digest benefit from the endpoint's prefix
 *     cache. Empty if the request has no prompt
 * @param tokenBound the caller's limit on generated tokens; empty if there is none
 * @param target resolves the target under the given rules; called before each attempt, may throw a
 *     {@link baobabcroft.common.RouterException}
 * @param permit acquired immediately before each send
 * @param maxAttemptMillis maximum time to wait for the response head of one attempt, in milliseconds
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
