/**
 * Limits of client accounts, shared between the instances by recent demand.
 *
 * <p>{@link baobabcroft.limit.AccountLimits} is the aggregate.
 */
package baobabcroft.limit;
