/**
 * One instance of the relay path: combines the relay, the HTTP transport and the shared state of the deployment.
 *
 * <p>{@link baobabcroft.instance.RelayInstance} is the composition root. The adapter to a platform passes it the
 * settings, the platform's headers and statuses, and the configuration.
 */
package baobabcroft.instance;
