/**
 * Limits of client accounts, divided between the instances by recent demand.
 *
 * <p>{@link baobabcroft.limit.AccountLimits} is the entry point.
 */
package baobabcroft.limit;
