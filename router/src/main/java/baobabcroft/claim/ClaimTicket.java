package baobabcroft.claim;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.billing.Bill;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Permission of one attempt to send one request once. Thread-safe.
 *
 * <p>The sender must call {@link #startSend} immediately before it writes the first byte, and must report the outcome
 * to {@link ClaimService#settle}.
 */
public final class ClaimTicket {
    private final ClaimRequest request;
    private final String claimingInstance;
    private final long attempt;
    private final AtomicReference<State> state = new AtomicReference<>(State.READY);

    private enum State {
        READY,
        SENDING,
        CLOSED
    }

    ClaimTicket(ClaimRequest request, String claimingInstance, long attempt) {
        this.request = checkNotNull(request);
        this.claimingInstance = checkNotNull(claimingInstance);
        this.attempt = attempt;
    }

    /**
     * Uses the permission to send. Implements action {@code Send} of {@code Claim.tla}.
     *
     * @param nowEpochMillis current time, in milliseconds since the epoch
     * @return true if the request may be sent; at most one call returns true, unless {@link #cancelSend} is called in
     *     between, and none at or after the deadline
     */
    public boolean startSend(long nowEpochMillis) {
        if (nowEpochMillis >= request.deadlineEpochMillis()) {
            return false;
        }
        return state.compareAndSet(State.READY, State.SENDING);
    }

    /**
     * Restores the permission to send. May be called only if provably no byte was written, for example because the
     * connection was refused.
     *
     * @return whether {@link #startSend} may be called again
     */
    public boolean cancelSend() {
        return state.compareAndSet(State.SENDING, State.READY);
    }

    /**
     * Returns the request identifier of the request's bill. A copy of the bill that another instance holds has the same
     * identifier as the bill derived from the claim, so that it is counted once.
     *
     * @return request identifier of the bill
     */
    public String billingId() {
        return ClaimRecord.billingId(request.idempotencyKey(), attempt);
    }

    /**
     * Returns the request that this ticket permits to send.
     *
     * @return the claimed request
     */
    public ClaimRequest request() {
        return request;
    }

    /**
     * Returns the bill that follows from the claim once the outcome is recorded. While the record is
     * {@link SettleResult#PENDING}, another instance may hold a copy of the bill; both are counted once.
     *
     * @param outcome outcome of the request
     * @param nowEpochMillis current time, in milliseconds since the epoch
     * @return the bill, or empty if the outcome is not billed
     */
    public Optional<Bill> bill(Outcome outcome, long nowEpochMillis) {
        return ClaimRecord.open(request, claimingInstance, attempt, nowEpochMillis)
                .settled(ClaimRules.stateAfter(outcome), Optional.empty(), nowEpochMillis)
                .bill(request.account(), request.idempotencyKey(), nowEpochMillis);
    }

    /** Revokes the permission to send permanently. */
    void close() {
        state.set(State.CLOSED);
    }

    String claimingInstance() {
        return claimingInstance;
    }

    long attempt() {
        return attempt;
    }

    /** Returns whether this ticket's attempt wrote the given claim. */
    boolean owns(ClaimRecord claim) {
        return claim.attempt() == attempt && claim.claimingInstance().equals(claimingInstance);
    }
}
