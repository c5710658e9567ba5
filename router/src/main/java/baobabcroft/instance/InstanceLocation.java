package baobabcroft.instance;

/**
 * Location of an instance, as published in the store for its peers.
 *
 * @param address host and port that receive datagrams
 * @param failureDomain failure domain of the instance
 */
record InstanceLocation(String address, String failureDomain) {}
