/**
 * Load balancing: chooses the endpoint for a request and tracks the load and health of each endpoint.
 *
 * <p>{@link baobabcroft.balance.EndpointPool} is the entry point; {@link baobabcroft.balance.EndpointPicker} is
 * the exchangeable load-balancing strategy.
 */
package baobabcroft.balance;
