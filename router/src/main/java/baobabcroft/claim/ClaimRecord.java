package baobabcroft.claim;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.billing.Bill;
import com.google.protobuf.ByteString;
import java.util.Optional;

/**
 * What a slot knows of one idempotency key. The aggregate of this package.
 *
 * @param bodyDigest digest of the request
 * @param attempt random number of the attempt that wrote the claim; only it may send
 * @param claimingInstance instance that made the attempt
 * @param operation full name of the operation
 * @param priceMicros price of one call, in millionths of the currency unit
 * @param claimedAtEpochMillis when it was claimed, in milliseconds since the epoch
 * @param deadlineEpochMillis when the caller gives up, in milliseconds since the epoch
 * @param state what became of it
 * @param settledAtEpochMillis when the outcome was recorded, in milliseconds since the epoch; zero while open
 * @param answer the answer, if there is one and it is small enough to keep
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
        /** Claimed: its attempt may send, or has sent, or has died. */
        OPEN,
        /** The endpoint answered, and the request is charged. */
        ANSWERED,
        /** The endpoint answered with an error status; nothing is charged. */
        REJECTED,
        /** It was sent, or may have been, and the outcome will not be known. */
        UNKNOWN,
        /** It was never sent and never will be by this attempt; the key is free. */
        WITHDRAWN
    }

    /** Checks the parts. */
    public ClaimRecord {
        checkNotNull(bodyDigest);
        checkNotNull(claimingInstance);
        checkNotNull(operation);
        checkNotNull(state);
        checkNotNull(answer);
    }

    /** Returns a new open claim. */
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

    /** Returns this claim with an outcome. */
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

    /** Returns the bill that this claim stands for, if it stands for one by now. */
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

    /** Returns the name under which an attempt is billed. */
    static String billingId(String idempotencyKey, long attempt) {
        return idempotencyKey + "/%016x".formatted(attempt);
    }

    private Bill bill(
            String account, String idempotencyKey, long amountMicros, Bill.Outcome outcome, long atEpochMillis) {
        String requestId = billingId(idempotencyKey, attempt);
        return new Bill(account, requestId, Bill.Kind.OPERATION, operation, 0, amountMicros, outcome, atEpochMillis);
    }
}
