/**
 * How busy endpoints are, as the instances of a failure domain tell each other in datagrams.
 *
 * <p>{@link baobabcroft.load.LoadExchange} sends and receives; {@link baobabcroft.load.SharedLoads} is what is known. A
 * datagram that is lost makes a choice worse and nothing wrong.
 */
package baobabcroft.load;
