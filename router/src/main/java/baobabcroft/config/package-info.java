/**
 * The configuration protocol: writes, distributes and accepts changes, and limits when an instance accepts new work.
 *
 * <p>{@link baobabcroft.config.ConfigNode} keeps the configuration of an instance up to date and determines
 * whether the instance may accept new work; {@link baobabcroft.config.ConfigService} writes changes.
 * {@link baobabcroft.config.Authority} and {@link baobabcroft.config.Confirmations} implement the decisions without
 * access to clock or network. DESIGN.md shows why no instance accepts new work under an earlier configuration once a
 * change is accepted.
 */
package baobabcroft.config;
