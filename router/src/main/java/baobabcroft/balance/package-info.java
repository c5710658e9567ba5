/**
 * Chooses the endpoint for a request and keeps what is known of each endpoint's load and health.
 *
 * <p>{@link baobabcroft.balance.EndpointPool} is the aggregate; {@link baobabcroft.balance.EndpointPicker} is what
 * varies.
 */
package baobabcroft.balance;
