/**
 * The settings of one instance: loading, schema validation and the immutable values.
 *
 * <p>The entry point is {@link baobabcroft.settings.Settings#load}.
 */
package baobabcroft.settings;
