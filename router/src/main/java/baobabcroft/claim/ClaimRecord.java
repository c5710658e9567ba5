package baobabcroft.claim;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.billing.Bill;
import com.google.protobuf.ByteString;
import java.util.Optional;

/**
 * State of one idempotency key, as stored in a slot.
 *
 * @param bodyDigest digest of the request, see {@link ClaimRequest#bodyDigest}
 * @param attempt random number that identifies the attempt that wrote the claim; only this attempt may send
 * @param claimingInstance name of the instance that made the attempt
 * @param operation full name of the operation
 * @param priceMicros price of one call, in millionths of the currency unit
 * @param claimedAtEpochMillis time of the claim, in milliseconds since the epoch
 * @param deadlineEpochMillis deadline of the caller's request, in milliseconds since the epoch
 * @param state state of the claim
 * @param settledAtEpochMillis time at which the outcome was recorded, in milliseconds since the epoch; zero while open
 * @param answer the endpoint's answer; empty if there is none or it exceeds {@link ClaimSettings#maxAnswerBytes}
 */
public record ClaimRecord(
        ByteString bodyDigest,
        long attempt,
        String claimingInstance,
        String operation,
        long priceMicros,
        long claimedAtEpochMillis,
        long deadlineEpochMillis,
        State state,
        long settledAtEpochMillis,
        Optional<RecordedAnswer> answer) {
    /** State of a claim. */
    public enum State {
        /** No outcome is recorded; the claiming attempt may still send, may have sent, or may have crashed. */
        OPEN,
        /** The endpoint answered with a status below 400; the request is charged. */
        ANSWERED,
        /** The endpoint answered with a status of 400 or above; nothing is charged. */
        REJECTED,
        /** The request was sent or may have been sent, and its outcome could not be determined; nothing is charged. */
        UNKNOWN,
        /** The attempt did not send the request and cannot send it any more; the key can be claimed again. */
        WITHDRAWN
    }

    /** Checks that no component is null. */
    public ClaimRecord {
        checkNotNull(bodyDigest);
        checkNotNull(claimingInstance);
        checkNotNull(operation);
        checkNotNull(state);
        checkNotNull(answer);
    }

    /** Returns a claim in state {@link State#OPEN}. */
    static ClaimRecord open(ClaimRequest request, String instance, long attempt, long nowEpochMillis) {
        return new ClaimRecord(
                request.bodyDigest(),
                attempt,
                instance,
                request.operation(),
                request.priceMicros(),
                nowEpochMillis,
                request.deadlineEpochMillis(),
                State.OPEN,
                0,
                Optional.empty());
    }

    /** Returns a copy of this claim in the given state, settled at {@code nowEpochMillis}. */
    ClaimRecord settled(State outcome, Optional<RecordedAnswer> kept, long nowEpochMillis) {
        return new ClaimRecord(
                bodyDigest,
                attempt,
                claimingInstance,
                operation,
                priceMicros,
                claimedAtEpochMillis,
                deadlineEpochMillis,
                outcome,
                nowEpochMillis,
                kept);
    }

    /**
     * Returns the bill that follows from this claim, or empty if none is due. An open claim past its deadline counts as
     * {@link State#UNKNOWN}.
     */
    Optional<Bill> bill(String account, String idempotencyKey, long nowEpochMillis) {
        return switch (state) {
            case ANSWERED ->
                Optional.of(bill(account, idempotencyKey, priceMicros, Bill.Outcome.ANSWERED, settledAtEpochMillis));
            case UNKNOWN -> Optional.of(bill(account, idempotencyKey, 0, Bill.Outcome.UNKNOWN, settledAtEpochMillis));
            case OPEN ->
                deadlineEpochMillis > nowEpochMillis
                        ? Optional.empty()
                        : Optional.of(bill(account, idempotencyKey, 0, Bill.Outcome.UNKNOWN, deadlineEpochMillis));
            case REJECTED, WITHDRAWN -> Optional.empty();
        };
    }

    /** Returns the request identifier of an attempt's bill. */
    static String billingId(String idempotencyKey, long attempt) {
        return idempotencyKey + "/%016x".formatted(attempt);
    }

    private Bill bill(
            String account, String idempotencyKey, long amountMicros, Bill.Outcome outcome, long atEpochMillis) {
        String requestId = billingId(idempotencyKey, attempt);
        return new Bill(account, requestId, Bill.Kind.OPERATION, operation, 0, amountMicros, outcome, atEpochMillis);
    }
}
