package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A request as sent to an endpoint.
 *
 * @param requestId id of the caller's request; an answer with another id is not the answer to this request
 * @param repeatable whether the request may be sent again after it may have run
 * @param method the HTTP method
 * @param target path and query
 * @param headers the headers, without those on framing
 * @param body the body; not copied, must not be modified
 */
@SuppressWarnings("ArrayRecordComponent")
public record EndpointRequest(
        String requestId, boolean repeatable, String method, String target, Headers headers, byte[] body) {
    /** Validates the components. */
    public EndpointRequest {
        checkNotNull(requestId);
        checkNotNull(method);
        checkNotNull(target);
        checkNotNull(headers);
        checkNotNull(body);
    }
}
