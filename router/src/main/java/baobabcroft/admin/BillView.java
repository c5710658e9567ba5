package baobabcroft.admin;

/**
 * A bill, as the administration API exports it.
 *
 * @param account name of the client account
 * @param requestId identifier of the request within the account
 * @param item full name of the version or operation that was billed
 * @param tokens tokens generated; zero for an operation
 * @param amountMicros amount, in millionths of the currency unit
 * @param outcome {@code answered}, {@code cut_off} or {@code unknown}; an unknown outcome is not charged, and operators
 *     must settle it
 * @param atEpochMillis time at which the bill was created, in milliseconds since the epoch
 */
public record BillView(
        String account,
        String requestId,
        String item,
        long tokens,
        long amountMicros,
        String outcome,
        long atEpochMillis) {}
