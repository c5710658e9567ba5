/**
 * Open-loop load generator: send times do not depend on responses, and latencies count from the scheduled send times.
 *
 * <p>{@link baobabcroft.load.LoadCommands} is the entry point.
 */
package baobabcroft.load;
