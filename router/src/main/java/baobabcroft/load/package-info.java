/**
 * How busy endpoints are, as other instances tell it: {@link baobabcroft.load.PeerLoads}. The notices themselves are
 * in {@link baobabcroft.notice}.
 */
package baobabcroft.load;
