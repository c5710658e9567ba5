/**
 * Claims of non-idempotent requests: at most one send for each idempotency key, and one answer kept for all its
 * repeats.
 *
 * <p>{@link baobabcroft.claim.ClaimService} is the way in. The rules are in {@link baobabcroft.claim.ClaimRules}, as
 * pure transitions of a {@link baobabcroft.slot.Slot}; {@code Claim.tla} in the test tree specifies the protocol.
 */
package baobabcroft.claim;
