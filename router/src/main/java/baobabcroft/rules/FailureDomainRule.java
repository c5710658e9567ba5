package baobabcroft.rules;

/**
 * A failure domain and the region that it belongs to.
 *
 * @param name the failure domain's name, unique in a rules file
 * @param region the region's name; several failure domains may share one region
 */
public record FailureDomainRule(String name, String region) {}
