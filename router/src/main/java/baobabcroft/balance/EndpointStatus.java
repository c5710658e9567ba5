package baobabcroft.balance;

/**
 * Status of one endpoint, for operators.
 *
 * @param name name of the endpoint
 * @param health whether the endpoint takes new requests
 * @param inFlight requests of this instance in flight on the endpoint
 * @param load estimated requests of all instances on the endpoint
 * @param serviceMillis moving average of the time of its answers, in milliseconds; zero before the first answer
 */
public record EndpointStatus(String name, EndpointHealth health, int inFlight, double load, double serviceMillis) {}
