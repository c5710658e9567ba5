package baobabcroft.gateway;

import java.util.Optional;

/** Tells which rules hold for new work. Thread-safe. */
@FunctionalInterface
public interface ActiveRules {
    /**
     * Returns the rules under which new work may start at this moment.
     *
     * @return the rules, or empty if the instance has none that are certain to be in force
     */
    Optional<RulesSnapshot> forNewRequests();
}
