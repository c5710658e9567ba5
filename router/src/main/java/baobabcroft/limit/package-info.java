/**
 * Limits that hold for all instances together. {@link baobabcroft.limit.AccountLimits} divides those of client accounts
 * between the instances by recent demand. {@link baobabcroft.limit.SharedRate} divides rates that endpoints state:
 * these are low and change from one moment to the next, so the parts follow from the names of the instances alone.
 */
package baobabcroft.limit;
