package baobabcroft.rules;

/**
 * An operation of a plain service.
 *
 * @param service the service's name
 * @param name the operation's name
 * @param idempotent whether a call may be repeated
 * @param priceMicros price of one call, in millionths of the currency unit
 * @param timeoutMillis longest time to wait for the service's answer, in milliseconds
 */
public record OperationRule(String service, String name, boolean idempotent, long priceMicros, long timeoutMillis) {
    /**
     * Returns the operation's full name.
     *
     * @return {@code service/name}
     */
    public String fullName() {
        return service + "/" + name;
    }
}
