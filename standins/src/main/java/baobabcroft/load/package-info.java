/**
 * Load tool: requests at times that do not depend on the answers, with latencies counted from those times.
 *
 * <p>{@link baobabcroft.load.LoadCommands} is the way in.
 */
package baobabcroft.load;
