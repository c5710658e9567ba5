/**
 * Types shared by all packages: error codes, the execution status, the exception that carries both, and scheduling.
 *
 * <p>Throw a {@link baobabcroft.common.RouterException} to reject a request; its {@link baobabcroft.common.Execution}
 * states whether the request may have run.
 */
package baobabcroft.common;
