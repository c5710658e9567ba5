/**
 * Local replica of the shared store's keys.
 *
 * <p>{@link baobabcroft.replica.StoreReplica} keeps the replica up to date: by polling the store, or by following the
 * instance of the same failure domain that polls it, so that the number of store calls grows with failure domains and
 * not with instances. The store may return from an older copy of itself, in a new era: each {@link
 * baobabcroft.replica.StoreRevision} names its era, and a revision of one era has no meaning in another.
 *
 * <p>The package decides what is read, from whom, and what is believed. It uses no network: {@link
 * baobabcroft.replica.StoreCalls} and {@link baobabcroft.replica.FeedTransport} are its ports.
 */
package baobabcroft.replica;
