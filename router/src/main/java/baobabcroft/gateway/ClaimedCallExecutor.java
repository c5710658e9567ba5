package baobabcroft.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.claim.ClaimRequest;
import baobabcroft.claim.ClaimResult;
import baobabcroft.claim.ClaimService;
import baobabcroft.claim.ClaimTicket;
import baobabcroft.claim.InstancePresence;
import baobabcroft.claim.Outcome;
import baobabcroft.claim.RecordedAnswer;
import baobabcroft.claim.SettleResult;
import baobabcroft.common.ErrorCode;
import baobabcroft.common.Execution;
import baobabcroft.common.RouterException;
import baobabcroft.rules.OperationRule;
import com.google.protobuf.ByteString;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;

/** Runs non-idempotent calls at most once: claims each call before sending it and records its outcome. Thread-safe. */
final class ClaimedCallExecutor {
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final ClaimService claims;
    private final InstancePresence presence;
    private final ChargeRecorder chargeRecorder;
    private final InstantSource wallClock;

    ClaimedCallExecutor(
            ClaimService claims, InstancePresence presence, ChargeRecorder chargeRecorder, InstantSource wallClock) {
        this.claims = checkNotNull(claims);
        this.presence = checkNotNull(presence);
        this.chargeRecorder = checkNotNull(chargeRecorder);
        this.wallClock = checkNotNull(wallClock);
    }

    /**
     * Runs a call, or returns the recorded response if it has run before.
     *
     * @param digest digest of the call, to detect reuse of an idempotency key
     * @param send sends the call if the permit allows it
     * @return the response; fails with a {@link RouterException}
     * @throws RouterException if the idempotency key is missing or claims are unavailable
     */
    CompletionStage<CallerResponse> run(
            CallerRequest caller,
            OperationRule operation,
            String digest,
            Function<SendPermit, CompletionStage<OperationResponse>> send) {
        String key = caller.idempotencyKey()
                .orElseThrow(() -> RouterException.notRun(
                        ErrorCode.IDEMPOTENCY_KEY_REQUIRED,
                        operation.fullName() + " is not idempotent and requires the header "
                                + Headers.IDEMPOTENCY_KEY));
        if (!claims.isAvailable()) {
            throw claimUnavailable(RETRY_AFTER_MILLIS);
        }
        ClaimRequest request = new ClaimRequest(
                caller.account().name(),
                key,
                ByteString.copyFromUtf8(digest),
                operation.fullName(),
                operation.priceMicros(),
                caller.deadlineEpochMillis());
        return claims.claim(request).thenCompose(result -> awaitIfRunning(request, result, send));
    }

    private CompletionStage<CallerResponse> awaitIfRunning(
            ClaimRequest request, ClaimResult result, Function<SendPermit, CompletionStage<OperationResponse>> send) {
        if (result instanceof ClaimResult.Running) {
            return claims.awaitOutcome(request, presence).thenCompose(settled -> sendOrReplay(settled, send));
        }
        return sendOrReplay(result, send);
    }

    private CompletionStage<CallerResponse> sendOrReplay(
            ClaimResult result, Function<SendPermit, CompletionStage<OperationResponse>> send) {
        if (result instanceof ClaimResult.Granted granted) {
            return sendOnce(granted.ticket(), send);
        }
        if (result instanceof ClaimResult.Recorded recorded) {
            return CompletableFuture.completedFuture(new CallerResponse(replayedResponse(recorded.answer()), false));
        }
        return CompletableFuture.failedFuture(toRouterException(result));
    }

    private static RouterException toRouterException(ClaimResult result) {
        if (result instanceof ClaimResult.KeyReused) {
            return RouterException.notRun(
                    ErrorCode.KEY_REUSED, "the idempotency key was already used for a different request");
        }
        if (result instanceof ClaimResult.AnswerNotKept) {
            return RouterException.of(
                    ErrorCode.ANSWER_NOT_KEPT,
                    Execution.RAN,
                    "the request ran, but its response was too large to record");
        }
        if (result instanceof ClaimResult.Unavailable unavailable) {
            return claimUnavailable(unavailable.retryAfterMillis());
        }
        return RouterException.of(
                ErrorCode.OUTCOME_UNKNOWN,
                Execution.MAY_HAVE_RUN,
                "an earlier request with this idempotency key may have run; its outcome is unknown");
    }

    private static RouterException claimUnavailable(long retryAfterMillis) {
        return RouterException.notRun(
                ErrorCode.CLAIM_UNAVAILABLE,
                "the request cannot be claimed at present; this attempt was not run",
                retryAfterMillis);
    }

    private CompletionStage<CallerResponse> sendOnce(
            ClaimTicket ticket, Function<SendPermit, CompletionStage<OperationResponse>> send) {
        return send.apply(permit(ticket))
                .handle((operationResponse, failure) ->
                        failure == null ? recordResponse(ticket, operationResponse) : recordFailure(ticket, failure))
                .thenCompose(Function.identity());
    }

    private SendPermit permit(ClaimTicket ticket) {
        return new SendPermit() {
            @Override
            public boolean tryAcquire() {
                return ticket.startSend(wallClock.millis());
            }

            @Override
            public void release() {
                ticket.cancelSend();
            }
        };
    }

    private CompletionStage<CallerResponse> recordResponse(ClaimTicket ticket, OperationResponse operationResponse) {
        RecordedAnswer recordedAnswer = new RecordedAnswer(
                operationResponse.response().status().intValue(),
                operationResponse.response().entity().getContentType().toString(),
                ByteString.copyFrom(operationResponse.body().toArray()));
        return claims.settle(ticket, new Outcome.Answered(recordedAnswer))
                .thenApply(result -> {
                    if (result == SettleResult.DURABLE) {
                        return CompletableFuture.<Void>completedFuture(null);
                    }
                    return chargeRecorder.record(heldCharge(ticket, operationResponse));
                })
                .thenCompose(Function.identity())
                .thenApply(unused -> new CallerResponse(operationResponse.response(), false));
    }

    /**
     * Returns the charge that other instances hold until the outcome of the claim is stored. It has the billing
     * identifier of the claim, so that the two are billed once.
     */
    private static Charge heldCharge(ClaimTicket ticket, OperationResponse operationResponse) {
        return new Charge(
                ticket.request().account(),
                ticket.billingId(),
                ticket.request().operation(),
                0,
                operationResponse.isSuccess() ? ticket.request().priceMicros() : 0,
                true);
    }

    private CompletionStage<CallerResponse> recordFailure(ClaimTicket ticket, Throwable failure) {
        RouterException error = ProblemDetails.toRouterException(failure);
        Outcome outcome = error.execution() == Execution.NOT_RUN ? new Outcome.NotRun() : new Outcome.Unknown();
        return claims.settle(ticket, outcome).thenCompose(result -> CompletableFuture.failedFuture(error));
    }

    private static HttpResponse replayedResponse(RecordedAnswer recordedAnswer) {
        ContentType type = ContentTypes.parse(recordedAnswer.contentType());
        return HttpResponse.create()
                .withStatus(recordedAnswer.status())
                .withEntity(HttpEntities.create(type, recordedAnswer.body().toByteArray()))
                .addHeader(RawHeader.create(Headers.RECORDED, "true"));
    }
}
