/**
 * An instance of the router as a process: creates, connects, starts and stops its components.
 *
 * <p>{@link baobabcroft.serve.InstanceServer} is the composition root.
 */
package baobabcroft.serve;
