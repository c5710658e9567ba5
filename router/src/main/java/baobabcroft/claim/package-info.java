/**
 * Claims of non-idempotent requests: a request is sent at most once per idempotency key, and its stored answer is
 * returned to all repeats.
 *
 * <p>{@link baobabcroft.claim.ClaimService} is the entry point. {@link baobabcroft.claim.ClaimRules} implements the
 * protocol as pure transitions of a {@link baobabcroft.slot.Slot}; {@code Claim.tla} in the test tree specifies it.
 */
package baobabcroft.claim;
