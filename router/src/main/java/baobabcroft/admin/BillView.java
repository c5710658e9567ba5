package baobabcroft.admin;

/**
 * A bill as operators export it.
 *
 * @param account client account
 * @param requestId identifier of the request within the account
 * @param item version or operation that was billed
 * @param tokens tokens generated; zero for an operation
 * @param amountMicros amount, in millionths of the currency unit
 * @param outcome {@code answered}, {@code cut_off}, or {@code unknown}, which charges nothing and is for operators to
 *     settle
 * @param atEpochMillis when it was made out, in milliseconds since 1970 UTC
 */
public record BillView(
        String account,
        String requestId,
        String item,
        long tokens,
        long amountMicros,
        String outcome,
        long atEpochMillis) {}
