package baobabcroft.config;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.rules.RuleSet;

/**
 * A configuration that an instance has applied.
 *
 * @param document the stored document
 * @param rules the rules parsed from its text
 */
public record AppliedConfig(ConfigDocument document, RuleSet rules) {
    /** Rejects null components. */
    public AppliedConfig {
        checkNotNull(document);
        checkNotNull(rules);
    }

    /**
     * Returns the number of the document.
     *
     * @return the number, greater than that of every earlier version
     */
    public long number() {
        return document.number();
    }
}
