package baobabcroft.gateway;

import java.util.Optional;

/** Supplies the rules for new requests. Thread-safe. */
@FunctionalInterface
public interface ActiveRules {
    /**
     * Returns the rules under which new requests may start now.
     *
     * @return the rules, or empty if the instance cannot confirm that its configuration is current
     */
    Optional<RulesSnapshot> forNewRequests();
}
