package baobabcroft.instance;

/**
 * Where an instance listens for its peers.
 *
 * @param address address and port for datagrams
 * @param failureDomain where it stands
 */
record InstancePlace(String address, String failureDomain) {}
