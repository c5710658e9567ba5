/**
 * Port to the platform's key-value service and its list of live instances.
 *
 * <p>{@link baobabcroft.external.KeyValueStore} is all that the rest of the router knows of the service; adapters live
 * in sub-packages. Every write result says whether it took effect, did not, or is unknown.
 */
package baobabcroft.external;
