package baobabcroft.instance;

import baobabcroft.directory.EndpointEntry;
import baobabcroft.relay.CallerRequest;
import baobabcroft.relay.CrashWatch;

/** Remembers nothing. */
final class NoCrashes implements CrashWatch {
    @Override
    public boolean isPoison(CallerRequest request, String account) {
        return false;
    }

    @Override
    public void connectionLost(CallerRequest request, String account, EndpointEntry endpoint) {}
}
