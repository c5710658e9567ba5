package baobabcroft.endpoint;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.net.HostAndPort;
import org.apache.pekko.http.javadsl.model.HttpRequest;

/**
 * One request to one endpoint.
 *
 * @param address the endpoint's address
 * @param request the request, with a URI relative to the address
 * @param idempotent whether the request is idempotent; if not, it is sent on a new connection, because a request lost
 *     on a stale pooled connection would have an unknown outcome
 * @param timeoutMillis time to wait for the response head, in milliseconds
 */
public record EndpointCall(HostAndPort address, HttpRequest request, boolean idempotent, long timeoutMillis) {
    /** Validates the components. */
    public EndpointCall {
        checkNotNull(address);
        checkNotNull(request);
        checkArgument(timeoutMillis > 0, "timeoutMillis must be positive, was %s", timeoutMillis);
    }
}
