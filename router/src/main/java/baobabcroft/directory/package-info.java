/**
 * Directory of the endpoints that the platform lists.
 *
 * <p>{@link baobabcroft.directory.EndpointDirectory} is the entry point. The choice of the endpoint for a request is
 * made in {@link baobabcroft.relay}.
 */
package baobabcroft.directory;
