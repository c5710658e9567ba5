/**
 * The operators' rules: parsing, checking and comparing rule files, and the immutable rule set in force.
 *
 * <p>{@link baobabcroft.rules.RuleSet} is the aggregate; all else is reached through it.
 */
package baobabcroft.rules;
