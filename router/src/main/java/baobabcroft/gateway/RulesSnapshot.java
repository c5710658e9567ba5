package baobabcroft.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.rules.RuleSet;

/**
 * A rule set and the number of the configuration that holds it.
 *
 * @param number the configuration's number
 * @param rules the rules
 */
public record RulesSnapshot(long number, RuleSet rules) {
    /** Checks the parts. */
    public RulesSnapshot {
        checkNotNull(rules);
    }
}
