/**
 * Interfaces to the platform's services: key-value store, live list and rating service.
 *
 * <p>The rest of the router uses the key-value service through {@link baobabcroft.external.KeyValueStore} or
 * {@link baobabcroft.external.PolledKeyValueStore}; adapters are in sub-packages. Every write result says whether the
 * write took effect, did not, or is unknown.
 */
package baobabcroft.external;
