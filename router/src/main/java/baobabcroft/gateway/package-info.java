/**
 * The caller-facing HTTP side of an instance: reads requests, routes them to endpoints and returns the responses.
 *
 * <p>{@link baobabcroft.gateway.GatewayServer} is the entry point. {@link baobabcroft.gateway.ChatHandler} handles chat
 * requests and {@link baobabcroft.gateway.ServiceHandler} calls of plain services.
 */
package baobabcroft.gateway;
