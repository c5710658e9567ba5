/**
 * Load of the endpoints as reported by other instances: {@link baobabcroft.load.PeerLoads}. The notices that carry
 * the reports are in {@link baobabcroft.notice}.
 */
package baobabcroft.load;
