package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A complete request as the caller sent it.
 *
 * @param method the HTTP method
 * @param target path and query, unchanged
 * @param host the requested host, without a port
 * @param headers the headers
 * @param body the body; not copied, must not be modified
 */
@SuppressWarnings("ArrayRecordComponent")
public record CallerRequest(String method, String target, String host, Headers headers, byte[] body) {
    /** Validates the components. */
    public CallerRequest {
        checkNotNull(method);
        checkNotNull(target);
        checkNotNull(host);
        checkNotNull(headers);
        checkNotNull(body);
    }

    /**
     * Returns the path of the request.
     *
     * @return the target without its query
     */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }
}
