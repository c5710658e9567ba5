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

/** Runs calls that may not be repeated: claims them first, and records their outcome. Thread-safe. */
final class ClaimedCalls {
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final ClaimService claims;
    private final InstancePresence presence;
    private final ChargeRecorder charges;
    private final InstantSource wallClock;

    ClaimedCalls(ClaimService claims, InstancePresence presence, ChargeRecorder charges, InstantSource wallClock) {
        this.claims = checkNotNull(claims);
        this.presence = checkNotNull(presence);
        this.charges = checkNotNull(charges);
        this.wallClock = checkNotNull(wallClock);
    }

    /** Returns the answer of the only run, now or earlier, or fails with the refusal. */
    CompletionStage<CallerAnswer> run(
            CallerRequest caller,
            OperationRule operation,
            String digest,
            Function<SendPermit, CompletionStage<OperationAnswer>> send) {
        String key = caller.idempotencyKey()
                .orElseThrow(() -> RouterException.notRun(
                        ErrorCode.IDEMPOTENCY_KEY_REQUIRED,
                        operation.fullName() + " may not be repeated; send a header " + Headers.IDEMPOTENCY_KEY));
        if (!claims.isAvailable()) {
            throw unavailable(RETRY_AFTER_MILLIS);
        }
        ClaimRequest request = new ClaimRequest(
                caller.account().name(),
                key,
                ByteString.copyFromUtf8(digest),
                operation.fullName(),
                operation.priceMicros(),
                caller.deadlineEpochMillis());
        return claims.claim(request).thenCompose(result -> proceed(request, result, send));
    }

    private CompletionStage<CallerAnswer> proceed(
            ClaimRequest request, ClaimResult result, Function<SendPermit, CompletionStage<OperationAnswer>> send) {
        if (result instanceof ClaimResult.Running) {
            return claims.awaitOutcome(request, presence).thenCompose(later -> finish(later, send));
        }
        return finish(result, send);
    }

    private CompletionStage<CallerAnswer> finish(
            ClaimResult result, Function<SendPermit, CompletionStage<OperationAnswer>> send) {
        if (result instanceof ClaimResult.Granted granted) {
            return sendOnce(granted.ticket(), send);
        }
        if (result instanceof ClaimResult.Recorded recorded) {
            return CompletableFuture.completedFuture(new CallerAnswer(response(recorded.answer()), false));
        }
        return CompletableFuture.failedFuture(refusal(result));
    }

    private static RouterException refusal(ClaimResult result) {
        if (result instanceof ClaimResult.KeyReused) {
            return RouterException.notRun(ErrorCode.KEY_REUSED, "the idempotency key was used for another request");
        }
        if (result instanceof ClaimResult.AnswerNotKept) {
            return RouterException.of(
                    ErrorCode.ANSWER_NOT_KEPT, Execution.RAN, "the request ran; its answer was too large to keep");
        }
        if (result instanceof ClaimResult.Unavailable unavailable) {
            return unavailable(unavailable.retryAfterMillis());
        }
        return RouterException.of(
                ErrorCode.OUTCOME_UNKNOWN,
                Execution.MAY_HAVE_RUN,
                "an earlier request with this idempotency key may have run; its outcome is not known");
    }

    private static RouterException unavailable(long retryAfterMillis) {
        return RouterException.notRun(
                ErrorCode.CLAIM_UNAVAILABLE,
                "the request cannot be claimed at present; this delivery was not run",
                retryAfterMillis);
    }

    private CompletionStage<CallerAnswer> sendOnce(
            ClaimTicket ticket, Function<SendPermit, CompletionStage<OperationAnswer>> send) {
        return send.apply(permit(ticket))
                .handle((answer, failure) -> failure == null ? settled(ticket, answer) : failed(ticket, failure))
                .thenCompose(Function.identity());
    }

    private SendPermit permit(ClaimTicket ticket) {
        return new SendPermit() {
            @Override
            public boolean take() {
                return ticket.startSend(wallClock.millis());
            }

            @Override
            public void giveBack() {
                ticket.cancelSend();
            }
        };
    }

    private CompletionStage<CallerAnswer> settled(ClaimTicket ticket, OperationAnswer answer) {
        RecordedAnswer record = new RecordedAnswer(
                answer.response().status().intValue(),
                answer.response().entity().getContentType().toString(),
                ByteString.copyFrom(answer.body().toArray()));
        return claims.settle(ticket, new Outcome.Answered(record))
                .thenApply(result -> {
                    if (result == SettleResult.DURABLE) {
                        return CompletableFuture.<Void>completedFuture(null);
                    }
                    return charges.record(heldCharge(ticket, answer));
                })
                .thenCompose(Function.identity())
                .thenApply(unused -> new CallerAnswer(answer.response(), false));
    }

    /** Returns the charge that other instances hold until the claim's outcome, which bears the same name, is stored. */
    private static Charge heldCharge(ClaimTicket ticket, OperationAnswer answer) {
        return new Charge(
                ticket.request().account(),
                ticket.billingId(),
                ticket.request().operation(),
                0,
                answer.isSuccess() ? ticket.request().priceMicros() : 0,
                true);
    }

    private CompletionStage<CallerAnswer> failed(ClaimTicket ticket, Throwable failure) {
        RouterException refusal = Problems.toRefusal(failure);
        Outcome outcome = refusal.execution() == Execution.NOT_RUN ? new Outcome.NotRun() : new Outcome.Unknown();
        return claims.settle(ticket, outcome).thenCompose(result -> CompletableFuture.failedFuture(refusal));
    }

    private static HttpResponse response(RecordedAnswer answer) {
        ContentType type = ContentTypes.parse(answer.contentType());
        return HttpResponse.create()
                .withStatus(answer.status())
                .withEntity(HttpEntities.create(type, answer.body().toByteArray()))
                .addHeader(RawHeader.create(Headers.RECORDED, "true"));
    }
}
