/**
 * Bills: each request is billed exactly once.
 *
 * <p>A bill is keyed by client account and request, so that writing it twice does no harm.
 */
package baobabcroft.billing;
