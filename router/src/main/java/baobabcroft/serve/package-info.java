/**
 * An entry instance as a process: puts the parts together, starts and stops them.
 *
 * <p>{@link baobabcroft.serve.InstanceServer} is the composition root.
 */
package baobabcroft.serve;
