package baobabcroft.rules;

/**
 * A failure domain and the region it lies in.
 *
 * @param name the failure domain's name
 * @param region the region's name
 */
public record FailureDomainRule(String name, String region) {}
