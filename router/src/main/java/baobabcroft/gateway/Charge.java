package baobabcroft.gateway;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * What a request costs its account.
 *
 * @param account the client account
 * @param billingId names the request; the same name is charged once
 * @param item full name of the version or operation that ran
 * @param tokens generated tokens, zero for an operation
 * @param amountMicros the price, in millionths of the currency unit
 * @param complete whether the caller got the whole answer, or left before its end
 */
public record Charge(String account, String billingId, String item, long tokens, long amountMicros, boolean complete) {
    private static final long TOKENS_PER_PRICE_UNIT = 1_000;

    /** Checks the parts. */
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
     * @param tokens generated tokens
     * @param priceMicrosPerThousandTokens price of a thousand, in millionths of the currency unit
     * @return millionths of the currency unit
     */
    public static long priceMicros(long tokens, long priceMicrosPerThousandTokens) {
        long product = Math.multiplyExact(tokens, priceMicrosPerThousandTokens);
        return (product + TOKENS_PER_PRICE_UNIT - 1) / TOKENS_PER_PRICE_UNIT;
    }
}
