/**
 * Session affinity: a session stays on the model version that its first request was assigned.
 *
 * <p>{@link baobabcroft.session.SessionService} is the entry point; it stores pins as records of
 * {@link baobabcroft.slot.SlotLog}.
 */
package baobabcroft.session;
