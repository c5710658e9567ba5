/**
 * Reconstructs the course of a request from the log files of all instances.
 *
 * <p>{@link baobabcroft.trace.LogFiles} reads the files, {@link baobabcroft.trace.RequestTrace} joins the events of a
 * request with the state that its instances had logged, and {@link baobabcroft.trace.RequestTraceReport} formats the
 * result. Used by the command {@code trace}.
 */
package baobabcroft.trace;
