package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A request as the caller sent it, read whole.
 *
 * @param method its method
 * @param target path and query, unchanged
 * @param host the host that it names, without a port
 * @param headers its headers
 * @param body its body; not copied, callers must not change it
 */
@SuppressWarnings("ArrayRecordComponent")
public record CallerRequest(String method, String target, String host, Headers headers, byte[] body) {
    /** Checks the parts. */
    public CallerRequest {
        checkNotNull(method);
        checkNotNull(target);
        checkNotNull(host);
        checkNotNull(headers);
        checkNotNull(body);
    }

    /**
     * Returns the path.
     *
     * @return the target without its query
     */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }
}
