package baobabcroft.billing;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Bill of one request.
 *
 * @param account client account
 * @param requestId identifier of the request, unique within the account
 * @param kind what was billed
 * @param item version or operation that was billed
 * @param tokens tokens generated; zero for an operation
 * @param amountMicros amount, in millionths of the currency unit
 * @param outcome what became of the request
 * @param atEpochMillis when the bill was made out, in milliseconds since the epoch
 */
public record Bill(
        String account,
        String requestId,
        Kind kind,
        String item,
        long tokens,
        long amountMicros,
        Outcome outcome,
        long atEpochMillis) {
    /** What a bill is for. */
    public enum Kind {
        /** Tokens that a model's version generated. */
        GENERATION,
        /** A call of an operation of a plain service. */
        OPERATION
    }

    /** What became of a billed request. */
    public enum Outcome {
        /** The whole answer came. */
        ANSWERED,
        /** The answer broke off; what came of it is billed. */
        CUT_OFF,
        /** It may have run and its outcome is not known; nothing is charged. */
        UNKNOWN
    }

    /**
     * Identity of a bill: of two bills with the same identity only one counts.
     *
     * @param account client account
     * @param requestId identifier of the request
     */
    public record Id(String account, String requestId) {}

    /** Checks the parts. */
    public Bill {
        checkNotNull(account);
        checkNotNull(requestId);
        checkNotNull(kind);
        checkNotNull(item);
        checkArgument(tokens >= 0, "tokens must not be negative, were %s", tokens);
        checkArgument(amountMicros >= 0, "amountMicros must not be negative, was %s", amountMicros);
        checkNotNull(outcome);
    }

    /**
     * Returns the bill's identity.
     *
     * @return account and request
     */
    public Id id() {
        return new Id(account, requestId);
    }
}
