/**
 * Sessions: each keeps the version of a model that its first request was given.
 *
 * <p>{@link baobabcroft.session.SessionService} is the way in; the pins are records of {@link
 * baobabcroft.slot.SlotLog}.
 */
package baobabcroft.session;
