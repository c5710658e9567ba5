package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A request as an endpoint receives it.
 *
 * @param requestId id of the caller attempt, which the answer must bear
 * @param repeatable whether it may run again after it may have run
 * @param method its method
 * @param target path and query
 * @param headers its headers, without those on framing
 * @param body its body; not copied, callers must not change it
 */
@SuppressWarnings("ArrayRecordComponent")
public record EndpointRequest(
        String requestId, boolean repeatable, String method, String target, Headers headers, byte[] body) {
    /** Checks the parts. */
    public EndpointRequest {
        checkNotNull(requestId);
        checkNotNull(method);
        checkNotNull(target);
        checkNotNull(headers);
        checkNotNull(body);
    }
}
