package baobabcroft.claim;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.billing.Bill;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Right of one attempt to send one request once. Thread-safe.
 *
 * <p>Whoever sends must ask {@link #startSend} right before the first byte, and tell the outcome to
 * {@link ClaimService#settle}.
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
     * Takes the right to send. Action {@code Send} of the specification.
     *
     * @param nowEpochMillis the time, in milliseconds since the epoch
     * @return true at most once, and only before the deadline; nothing may be sent on false
     */
    public boolean startSend(long nowEpochMillis) {
        if (nowEpochMillis >= request.deadlineEpochMillis()) {
            return false;
        }
        return state.compareAndSet(State.READY, State.SENDING);
    }

    /**
     * Gives the right to send back, because provably no byte was written, for example as the connection was refused.
     *
     * @return whether {@link #startSend} may be asked again
     */
    public boolean cancelSend() {
        return state.compareAndSet(State.SENDING, State.READY);
    }

    /**
     * Returns the name under which the request is billed, so that a bill that is held elsewhere counts once with the
     * claim's own.
     *
     * @return the bill's request identifier
     */
    public String billingId() {
        return ClaimRecord.billingId(request.idempotencyKey(), attempt);
    }

    /**
     * Returns the request.
     *
     * @return the request that was claimed
     */
    public ClaimRequest request() {
        return request;
    }

    /**
     * Returns the bill that the claim stands for once an outcome is recorded. While {@link SettleResult#PENDING}, it
     * may be held elsewhere too: it counts once.
     *
     * @param outcome the outcome
     * @param nowEpochMillis the time, in milliseconds since the epoch
     * @return the bill, if the outcome calls for one
     */
    public Optional<Bill> bill(Outcome outcome, long nowEpochMillis) {
        return ClaimRecord.open(request, claimingInstance, attempt, nowEpochMillis)
                .settled(ClaimRules.stateAfter(outcome), Optional.empty(), nowEpochMillis)
                .bill(request.account(), request.idempotencyKey(), nowEpochMillis);
    }

    /** Ends the right to send for good. */
    void close() {
        state.set(State.CLOSED);
    }

    String claimingInstance() {
        return claimingInstance;
    }

    long attempt() {
        return attempt;
    }

    /** Returns whether a claim was written by this ticket's attempt. */
    boolean owns(ClaimRecord claim) {
        return claim.attempt() == attempt && claim.claimingInstance().equals(claimingInstance);
    }
}
