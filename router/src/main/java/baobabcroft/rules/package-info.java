/**
 * The routing rules that operators write: parsing, validating and comparing rules files, and the immutable rule set.
 *
 * <p>{@link baobabcroft.rules.RulesParser} turns a rules file into a {@link baobabcroft.rules.RuleSet}, through which
 * all rules are looked up.
 */
package baobabcroft.rules;
