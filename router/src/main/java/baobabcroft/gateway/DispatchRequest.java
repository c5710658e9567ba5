package baobabcroft.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalLong;
import java.util.function.Function;

/**
 * A request for the dispatcher to send.
 *
 * @param caller metadata of the caller's request
 * @param bodyDigest digest of the request, used to count the crashes that it causes
 * @param idempotent whether the request is idempotent
 * @param prefixDigest digest of the start of the prompt; requests with the same digest benefit from the endpoint's
 *     prefix cache. Empty if the request has no prompt
 * @param maxTokens the caller's limit on generated tokens; empty if there is none
 * @param targetResolver resolves the target under the given rules; called before each attempt, may throw a
 *     {@link baobabcroft.common.RouterException}
 * @param permit acquired immediately before each send
 * @param maxAttemptMillis maximum time to wait for the response head of one attempt, in milliseconds
 */
record DispatchRequest(
        CallerRequest caller,
        String bodyDigest,
        boolean idempotent,
        OptionalLong prefixDigest,
        OptionalLong maxTokens,
        Function<RulesSnapshot, Target> targetResolver,
        SendPermit permit,
        long maxAttemptMillis) {
    DispatchRequest {
        checkNotNull(caller);
        checkNotNull(bodyDigest);
        checkNotNull(prefixDigest);
        checkNotNull(maxTokens);
        checkNotNull(targetResolver);
        checkNotNull(permit);
    }
}
