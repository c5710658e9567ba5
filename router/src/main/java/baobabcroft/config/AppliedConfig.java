package baobabcroft.config;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.rules.RuleSet;

/**
 * The configuration that an instance works under.
 *
 * @param document as it was written
 * @param rules the rules that its text holds
 */
public record AppliedConfig(ConfigDocument document, RuleSet rules) {
    /** Checks the parts. */
    public AppliedConfig {
        checkNotNull(document);
        checkNotNull(rules);
    }

    /**
     * Returns the document's number.
     *
     * @return the number
     */
    public long number() {
        return document.number();
    }
}
