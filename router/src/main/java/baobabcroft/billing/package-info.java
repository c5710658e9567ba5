/**
 * Records bills so that each request is billed exactly once.
 *
 * <p>A bill is identified by client account and request, so that writing it twice is harmless.
 */
package baobabcroft.billing;
