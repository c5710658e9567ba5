package baobabcroft.instance;

import baobabcroft.directory.EndpointEntry;
import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiPredicate;

/** The other instances that requests can be forwarded to, as endpoints of one service. Not thread-safe. */
final class ForwardingPeers {
    private static final String SERVICE = "instances";
    /** Stands for the version of an endpoint, also in log lines. */
    private static final String VERSION = "instance";
    /** Requests of other instances that one instance serves without much delay of its own. */
    private static final int SLOTS = 16;

    private final BiPredicate<String, String> isIsolated;
    private final Map<String, EndpointEntry> byName = new TreeMap<>();

    /**
     * Creates an object without instances.
     *
     * @param isIsolated whether an instance of a failure domain, given by their names, is cut off from all endpoints
     */
    ForwardingPeers(BiPredicate<String, String> isIsolated) {
        this.isIsolated = isIsolated;
    }

    void put(String name, HostAndPort address, String failureDomain) {
        byName.put(name, new EndpointEntry(name, SERVICE, address, failureDomain, VERSION, SLOTS, false, 0));
    }

    void remove(String name) {
        byName.remove(name);
    }

    /** Returns the instances that have not said that they are isolated themselves. */
    ImmutableList<EndpointEntry> connected() {
        return byName.values().stream()
                .filter(peer -> !isIsolated.test(peer.id(), peer.failureDomain()))
                .collect(ImmutableList.toImmutableList());
    }
}
