package baobabcroft.claim;

import baobabcroft.slot.Decision;
import baobabcroft.slot.Lookup;
import baobabcroft.slot.RecordKey;
import baobabcroft.slot.RecordKind;
import baobabcroft.slot.SlotRecord;
import baobabcroft.slot.Transition;
import java.util.Optional;
import java.util.function.Function;

/**
 * Builds the state transitions of claims, as specified in {@code Claim.tla}. The transitions are pure functions of a
 * slot's records and the time.
 */
final class ClaimRules {
    private static final int FIRST_ERROR_STATUS = 400;

    private final ClaimSettings settings;

    ClaimRules(ClaimSettings settings) {
        this.settings = settings;
    }

    /** Returns the key of the slot record that holds a request's claim. */
    static RecordKey keyOf(ClaimRequest request) {
        return new RecordKey(RecordKind.CLAIM, request.account(), request.idempotencyKey());
    }

    /** Returns the transition that claims a request. Implements action {@code Claim} of {@code Claim.tla}. */
    Transition<ClaimResult> claim(ClaimTicket ticket) {
        ClaimRequest request = ticket.request();
        RecordKey key = keyOf(request);
        return (view, nowEpochMillis) -> withClaim(view.find(key), found -> {
            if (found.isEmpty() || found.get().state() == ClaimRecord.State.WITHDRAWN) {
                ClaimRecord claim =
                        ClaimRecord.open(request, ticket.claimingInstance(), ticket.attempt(), nowEpochMillis);
                return new Decision.Put<>(openRecord(key, claim), new ClaimResult.Granted(ticket));
            }
            return new Decision.Keep<>(existingClaimResult(ticket, found.get(), nowEpochMillis));
        });
    }

    private static ClaimResult existingClaimResult(ClaimTicket ticket, ClaimRecord claim, long nowEpochMillis) {
        if (ticket.owns(claim)) {
            return new ClaimResult.Granted(ticket);
        }
        if (!claim.bodyDigest().equals(ticket.request().bodyDigest())) {
            return new ClaimResult.KeyReused();
        }
        return switch (claim.state()) {
            case ANSWERED, REJECTED ->
                claim.answer().<ClaimResult>map(ClaimResult.Recorded::new).orElseGet(ClaimResult.AnswerNotKept::new);
            case OPEN ->
                claim.deadlineEpochMillis() > nowEpochMillis
                        ? new ClaimResult.Running(claim.claimingInstance(), claim.deadlineEpochMillis())
                        : new ClaimResult.OutcomeUnknown();
            case UNKNOWN, WITHDRAWN -> new ClaimResult.OutcomeUnknown();
        };
    }

    /** Returns the transition that records an outcome. Implements action {@code Settle} of {@code Claim.tla}. */
    Transition<SettleResult> settle(ClaimTicket ticket, Outcome outcome) {
        RecordKey key = keyOf(ticket.request());
        return (view, nowEpochMillis) -> withClaim(view.find(key), found -> {
            if (found.isEmpty() || !ticket.owns(found.get())) {
                return new Decision.Keep<>(SettleResult.SUPERSEDED);
            }
            ClaimRecord next = settled(found.get(), outcome, nowEpochMillis);
            if (found.get().state() == next.state()) {
                return new Decision.Keep<>(SettleResult.DURABLE);
            }
            if (!isTransitionAllowed(found.get().state(), next.state())) {
                return new Decision.Keep<>(SettleResult.SUPERSEDED);
            }
            return new Decision.Put<>(settledRecord(key, next), SettleResult.DURABLE);
        });
    }

    private ClaimRecord settled(ClaimRecord claim, Outcome outcome, long nowEpochMillis) {
        Optional<RecordedAnswer> kept = outcome instanceof Outcome.Answered answered
                ? Optional.of(answered.answer()).filter(answer -> answer.body().size() <= settings.maxAnswerBytes())
                : Optional.empty();
        return claim.settled(stateAfter(outcome), kept, nowEpochMillis);
    }

    /** Returns the state of a claim settled with the given outcome. */
    static ClaimRecord.State stateAfter(Outcome outcome) {
        if (outcome instanceof Outcome.Answered answered) {
            return answered.answer().status() < FIRST_ERROR_STATUS
                    ? ClaimRecord.State.ANSWERED
                    : ClaimRecord.State.REJECTED;
        }
        return outcome instanceof Outcome.NotRun ? ClaimRecord.State.WITHDRAWN : ClaimRecord.State.UNKNOWN;
    }

    /**
     * Returns whether a claim may change from one state to another. An open claim accepts any outcome, and an unknown
     * one accepts a late answer; all other states are final.
     */
    private static boolean isTransitionAllowed(ClaimRecord.State from, ClaimRecord.State to) {
        return from == ClaimRecord.State.OPEN
                || (from == ClaimRecord.State.UNKNOWN
                        && (to == ClaimRecord.State.ANSWERED || to == ClaimRecord.State.REJECTED));
    }

    private SlotRecord openRecord(RecordKey key, ClaimRecord claim) {
        return new SlotRecord(
                key,
                ClaimCodec.encode(claim),
                claim.deadlineEpochMillis() + settings.openGraceMillis(),
                claim.deadlineEpochMillis() + settings.retentionMillis());
    }

    private SlotRecord settledRecord(RecordKey key, ClaimRecord claim) {
        return new SlotRecord(
                key,
                ClaimCodec.encode(claim),
                claim.settledAtEpochMillis(),
                claim.settledAtEpochMillis() + settings.retentionMillis());
    }

    private static <T> Decision<T> withClaim(Lookup lookup, Function<Optional<ClaimRecord>, Decision<T>> decide) {
        if (lookup instanceof Lookup.NotLoaded missing) {
            return new Decision.Load<>(missing.segment());
        }
        if (lookup instanceof Lookup.Present present) {
            return decide.apply(Optional.of(ClaimCodec.decode(present.record().payload())));
        }
        return decide.apply(Optional.empty());
    }
}
