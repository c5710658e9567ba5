package baobabcroft.fairness;

/**
 * What the requests of a client account use of a service.
 *
 * @param inFlight requests under way
 * @param heldTokens token memory that they hold or are going to hold; 0 at plain services
 */
public record AccountUse(int inFlight, long heldTokens) {
    /** The use of an account without requests. */
    public static final AccountUse NONE = new AccountUse(0, 0);

    /**
     * Returns the sum of two uses.
     *
     * @param other use of the same account elsewhere
     * @return the sum
     */
    public AccountUse plus(AccountUse other) {
        return new AccountUse(inFlight + other.inFlight, heldTokens + other.heldTokens);
    }
}
