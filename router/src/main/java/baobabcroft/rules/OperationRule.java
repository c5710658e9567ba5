package baobabcroft.rules;

/**
 * An operation of a plain service.
 *
 * @param service the service's name
 * @param name the operation's name, unique within the service
 * @param idempotent whether a call may safely run more than once
 * @param priceMicros price of one call, in millionths of the currency unit
 * @param timeoutMillis maximum time to wait for the service's answer, in milliseconds
 */
public record OperationRule(String service, String name, boolean idempotent, long priceMicros, long timeoutMillis) {
    /**
     * Returns the operation's name qualified by its service.
     *
     * @return {@code service/name}
     */
    public String fullName() {
        return service + "/" + name;
    }
}
