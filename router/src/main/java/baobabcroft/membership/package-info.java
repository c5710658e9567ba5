/**
 * Which instances there are, how many of them make a majority, and which are alive.
 *
 * <p>{@link baobabcroft.membership.Members} turns the platform's lagging list into majorities that overlap;
 * {@link baobabcroft.membership.PresenceTable} tells from heartbeats which instances are alive.
 */
package baobabcroft.membership;
