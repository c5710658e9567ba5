package baobabcroft.gateway;

import baobabcroft.balance.FailureKind;
import baobabcroft.chat.StreamObserver;
import baobabcroft.common.ErrorCode;
import baobabcroft.common.Execution;
import baobabcroft.common.RouterException;
import baobabcroft.limit.LimitReservation;
import com.google.common.base.Ticker;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.BiFunction;

/** Records the charge for a streamed response before its end is released, and reports the outcome to the pool. */
final class ChatStreamObserver implements StreamObserver {
    private final EndpointResponse endpointResponse;
    private final ChargeRecorder chargeRecorder;
    private final LimitReservation reservation;
    private final BiFunction<Long, Boolean, Charge> chargeFactory;
    private final Ticker ticker;

    ChatStreamObserver(
            EndpointResponse endpointResponse,
            ChargeRecorder chargeRecorder,
            LimitReservation reservation,
            BiFunction<Long, Boolean, Charge> chargeFactory,
            Ticker ticker) {
        this.endpointResponse = endpointResponse;
        this.chargeRecorder = chargeRecorder;
        this.reservation = reservation;
        this.chargeFactory = chargeFactory;
        this.ticker = ticker;
    }

    @Override
    public CompletionStage<Optional<String>> onComplete(long completionTokens) {
        endpointResponse.reportSuccess(ticker, completionTokens);
        reservation.release(completionTokens);
        return chargeRecorder
                .record(chargeFactory.apply(completionTokens, true))
                .handle((unused, failure) -> Optional.ofNullable(failure)
                        .map(ProblemDetails::toRouterException)
                        .map(ProblemDetails::toStreamErrorJson));
    }

    @Override
    public String onFailure(long completionTokens, String reason) {
        endpointResponse.reportFailure(FailureKind.INVALID_ANSWER);
        reservation.release(completionTokens);
        return ProblemDetails.toStreamErrorJson(RouterException.of(
                ErrorCode.ENDPOINT_ANSWER_INVALID,
                Execution.MAY_HAVE_RUN,
                "the response is incomplete or invalid: " + reason));
    }

    @Override
    public void onCancelled(long completionTokens) {
        endpointResponse.reservation().cancelled();
        reservation.release(completionTokens);
        if (completionTokens > 0) {
            chargeRecorder.record(chargeFactory.apply(completionTokens, false));
        }
    }
}
