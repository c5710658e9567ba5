/**
 * The life of one caller attempt between a caller and the endpoints: where it is sent, sent again, resumed, refused.
 *
 * <p>{@link baobabcroft.relay.RelayedRequest} is the aggregate. It knows no network types: a face hands it a
 * {@link baobabcroft.relay.CallerExchange} and an {@link baobabcroft.relay.EndpointTransport}, and a
 * {@link baobabcroft.relay.RequestDialect} translates the words of the wire. Everything here runs on one thread.
 */
package baobabcroft.relay;
