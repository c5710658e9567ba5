package baobabcroft.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.rules.RuleSet;

/**
 * A rule set with the number of the configuration that contains it.
 *
 * @param number number of the configuration, sent to endpoints as the fencing token
 * @param rules the rules
 */
public record RulesSnapshot(long number, RuleSet rules) {
    /** Validates the components. */
    public RulesSnapshot {
        checkNotNull(rules);
    }
}
