/**
 * The callers' side of an entry instance: reads requests, takes them through the flows and answers.
 *
 * <p>{@link baobabcroft.gateway.GatewayServer} is the entry point. Each flow has one job: {@link
 * baobabcroft.gateway.ChatFlow} for chat, {@link baobabcroft.gateway.ServiceFlow} for plain services.
 */
package baobabcroft.gateway;
