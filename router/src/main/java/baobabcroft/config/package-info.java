/**
 * The configuration: how a change is written, spread and accepted, and when an instance may take new work under it.
 *
 * <p>{@link baobabcroft.config.ConfigNode} keeps an instance's copy current and answers whether it may take new work;
 * {@link baobabcroft.config.ConfigService} makes changes. {@link baobabcroft.config.Authority} and
 * {@link baobabcroft.config.Confirmations} hold the rules of both, without clock or network. DESIGN.md argues why an
 * accepted change is in force.
 */
package baobabcroft.config;
