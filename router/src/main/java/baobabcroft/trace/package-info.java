/**
 * Reads instances' log files and tells a request's story over all of them.
 *
 * <p>{@link baobabcroft.trace.LogFiles} reads, {@link baobabcroft.trace.RequestTrace} joins a request's lines with what
 * its instances believed, {@link baobabcroft.trace.RequestTraceReport} prints. Used by the command {@code trace}.
 */
package baobabcroft.trace;
