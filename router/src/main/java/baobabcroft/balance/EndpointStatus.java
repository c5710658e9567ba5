package baobabcroft.balance;

/**
 * State of one endpoint for operators.
 *
 * @param name the endpoint's name
 * @param health whether it takes new work
 * @param inFlight requests of this instance that run on it
 * @param load estimate of all instances' requests on it
 * @param serviceMillis recent time of one of its answers, in milliseconds; zero if none is known
 */
public record EndpointStatus(String name, EndpointHealth health, int inFlight, double load, double serviceMillis) {}
