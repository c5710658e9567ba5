/**
 * The settings of one instance: loading, checking against the schema, and the immutable values.
 *
 * <p>Start at {@link baobabcroft.settings.Settings#load}.
 */
package baobabcroft.settings;
