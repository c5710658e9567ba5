/**
 * Membership: the instances, the quorums over them, and which of them are alive.
 *
 * <p>{@link baobabcroft.membership.Members} computes overlapping majorities from the platform's live list, which may
 * be out of date; {@link baobabcroft.membership.PresenceTable} detects failed instances by their heartbeats.
 */
package baobabcroft.membership;
