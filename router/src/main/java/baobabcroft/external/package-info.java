/**
 * Interfaces to the platform's services: key-value store, live list and rating service.
 *
 * <p>The rest of the router uses the key-value service through {@link baobabcroft.external.KeyValueStore}; adapters are
 * in sub-packages. Every write result says whether the write took effect, did not, or is unknown. The instances of the
 * relay path read it through {@link baobabcroft.replica} instead.
 */
package baobabcroft.external;
