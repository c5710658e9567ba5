package baobabcroft.claim;

import baobabcroft.claim.proto.AnswerPayload;
import baobabcroft.claim.proto.ClaimPayload;
import baobabcroft.claim.proto.ClaimState;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;

/** Converts {@link ClaimRecord}s to and from {@code ClaimPayload} messages, the payloads of slot records. */
final class ClaimCodec {
    private ClaimCodec() {}

    static ByteString encode(ClaimRecord claim) {
        ClaimPayload.Builder payload = ClaimPayload.newBuilder()
                .setBodyDigest(claim.bodyDigest())
                .setAttempt(claim.attempt())
                .setClaimingInstance(claim.claimingInstance())
                .setOperation(claim.operation())
                .setPriceMicros(claim.priceMicros())
                .setClaimedAtEpochMillis(claim.claimedAtEpochMillis())
                .setDeadlineEpochMillis(claim.deadlineEpochMillis())
                .setState(encode(claim.state()))
                .setSettledAtEpochMillis(claim.settledAtEpochMillis());
        claim.answer()
                .ifPresent(answer -> payload.setAnswer(AnswerPayload.newBuilder()
                        .setStatus(answer.status())
                        .setContentType(answer.contentType())
                        .setBody(answer.body())));
        return payload.build().toByteString();
    }

    /**
     * Returns the claim encoded in a slot record's payload.
     *
     * @throws IllegalStateException if the payload is not a valid claim, which means that stored data is corrupt
     */
    static ClaimRecord decode(ByteString bytes) {
        ClaimPayload payload = parse(bytes);
        return new ClaimRecord(
                payload.getBodyDigest(),
                payload.getAttempt(),
                payload.getClaimingInstance(),
                payload.getOperation(),
                payload.getPriceMicros(),
                payload.getClaimedAtEpochMillis(),
                payload.getDeadlineEpochMillis(),
                decode(payload.getState()),
                payload.getSettledAtEpochMillis(),
                payload.hasAnswer() ? Optional.of(decode(payload.getAnswer())) : Optional.empty());
    }

    private static ClaimPayload parse(ByteString bytes) {
        try {
            return ClaimPayload.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException("slot record payload is not a valid ClaimPayload message", e);
        }
    }

    private static RecordedAnswer decode(AnswerPayload answer) {
        return new RecordedAnswer(answer.getStatus(), answer.getContentType(), answer.getBody());
    }

    private static ClaimState encode(ClaimRecord.State state) {
        return switch (state) {
            case OPEN -> ClaimState.CLAIM_STATE_OPEN;
            case ANSWERED -> ClaimState.CLAIM_STATE_ANSWERED;
            case UNKNOWN -> ClaimState.CLAIM_STATE_UNKNOWN;
            case WITHDRAWN -> ClaimState.CLAIM_STATE_WITHDRAWN;
            case REJECTED -> ClaimState.CLAIM_STATE_REJECTED;
        };
    }

    private static ClaimRecord.State decode(ClaimState state) {
        return switch (state) {
            case CLAIM_STATE_OPEN -> ClaimRecord.State.OPEN;
            case CLAIM_STATE_ANSWERED -> ClaimRecord.State.ANSWERED;
            case CLAIM_STATE_UNKNOWN -> ClaimRecord.State.UNKNOWN;
            case CLAIM_STATE_WITHDRAWN -> ClaimRecord.State.WITHDRAWN;
            case CLAIM_STATE_REJECTED -> ClaimRecord.State.REJECTED;
            default -> throw new IllegalStateException("unknown claim state: " + state);
        };
    }
}
