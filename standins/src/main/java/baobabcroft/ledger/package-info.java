/**
 * Which kinds of disturbances were played together on days of a test bench, and days that play the missing pairs.
 *
 * <p>{@link baobabcroft.ledger.LedgerCommand} prints the first, {@link baobabcroft.ledger.DaysCommand} writes the
 * second.
 */
package baobabcroft.ledger;
