package baobabcroft.instance;

import baobabcroft.directory.EndpointEntry;
import baobabcroft.relay.VersionGate;
import com.google.common.collect.ImmutableList;
import java.util.Optional;

/** Lets all versions through. */
final class OpenGate implements VersionGate {
    @Override
    public ImmutableList<EndpointEntry> allowed(
            String service, ImmutableList<EndpointEntry> open, Optional<String> session, String requestId) {
        return open;
    }

    @Override
    public void answered(
            EndpointEntry endpoint, String route, Optional<String> session, boolean failed, long firstMillis) {}
}
