package baobabcroft.endpoint;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.net.HostAndPort;
import org.apache.pekko.http.javadsl.model.HttpRequest;

/**
 * One request to one endpoint.
 *
 * @param address the endpoint's address
 * @param request the request, its URI relative to the address
 * @param repeatable whether running it twice does no harm; if not, it gets a connection of its own so that a stale
 *     pooled connection cannot leave its fate unknown
 * @param timeoutMillis how long to wait for the answer's head, in milliseconds
 */
public record EndpointCall(HostAndPort address, HttpRequest request, boolean repeatable, long timeoutMillis) {
    /** Checks the parts. */
    public EndpointCall {
        checkNotNull(address);
        checkNotNull(request);
        checkArgument(timeoutMillis > 0, "timeoutMillis must be positive, was %s", timeoutMillis);
    }
}
