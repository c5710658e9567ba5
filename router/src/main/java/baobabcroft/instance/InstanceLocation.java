package baobabcroft.instance;

import java.util.Optional;

/**
 * Location of an instance, as published in the store for its peers.
 *
 * @param address host and port that receive datagrams
 * @param failureDomain failure domain of the instance
 * @param forwardingAddress host and port that take forwarded requests; empty if the instance takes none
 * @param linkMegabitsPerSecond rate of its network link; 0 if unknown
 */
record InstanceLocation(
        String address, String failureDomain, Optional<String> forwardingAddress, double linkMegabitsPerSecond) {}
