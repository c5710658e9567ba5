/**
 * Values that every other package uses: error codes, the execution verdict and the exception that carries both.
 *
 * <p>Use {@link baobabcroft.common.RouterException} to refuse a request; use {@link baobabcroft.common.Execution} to
 * say whether it may have run.
 */
package baobabcroft.common;
