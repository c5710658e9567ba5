package baobabcroft.gateway;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The cost of a request to its client account.
 *
 * @param account name of the client account
 * @param billingId identifies the charge; charges with the same identifier are billed once
 * @param item full name of the version or operation that ran
 * @param tokens number of generated tokens; zero for an operation
 * @param amountMicros amount, in millionths of the currency unit
 * @param complete true if the response was complete, false if the caller cancelled it
 */
public record Charge(String account, String billingId, String item, long tokens, long amountMicros, boolean complete) {
    private static final long TOKENS_PER_PRICE_UNIT = 1_000;

    /** Validates the components. */
    public Charge {
        checkNotNull(account);
        checkNotNull(billingId);
        checkNotNull(item);
        checkArgument(tokens >= 0, "tokens must not be negative, was %s", tokens);
        checkArgument(amountMicros >= 0, "amountMicros must not be negative, was %s", amountMicros);
    }

    /**
     * Returns the price of generated tokens, rounded up.
     *
     * @param tokens number of generated tokens
     * @param priceMicrosPerThousandTokens price of a thousand tokens, in millionths of the currency unit
     * @return the price, in millionths of the currency unit
     */
    public static long priceMicros(long tokens, long priceMicrosPerThousandTokens) {
        long product = Math.multiplyExact(tokens, priceMicrosPerThousandTokens);
        return (product + TOKENS_PER_PRICE_UNIT - 1) / TOKENS_PER_PRICE_UNIT;
    }
}
