/**
 * The endpoints that the platform lists, each by its id.
 *
 * <p>{@link baobabcroft.directory.EndpointDirectory} is the aggregate; decisions on which endpoint to use live in
 * {@link baobabcroft.relay}.
 */
package baobabcroft.directory;
