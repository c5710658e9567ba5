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

/** Records the charge of a streamed answer before its end is released, and tells the pool how it went. */
final class ChatStreamEnd implements StreamObserver {
    private final Delivery delivery;
    private final ChargeRecorder charges;
    private final LimitReservation usage;
    private final BiFunction<Long, Boolean, Charge> chargeOf;
    private final Ticker ticker;

    ChatStreamEnd(
            Delivery delivery,
            ChargeRecorder charges,
            LimitReservation usage,
            BiFunction<Long, Boolean, Charge> chargeOf,
            Ticker ticker) {
        this.delivery = delivery;
        this.charges = charges;
        this.usage = usage;
        this.chargeOf = chargeOf;
        this.ticker = ticker;
    }

    @Override
    public CompletionStage<Optional<String>> onWhole(long completionTokens) {
        delivery.succeeded(ticker, completionTokens);
        usage.release(completionTokens);
        return charges.record(chargeOf.apply(completionTokens, true))
                .handle((unused, failure) ->
                        Optional.ofNullable(failure).map(Problems::toRefusal).map(Problems::streamErrorJson));
    }

    @Override
    public String onBroken(long completionTokens, String reason) {
        delivery.failed(FailureKind.INVALID_ANSWER);
        usage.release(completionTokens);
        return Problems.streamErrorJson(RouterException.of(
                ErrorCode.ENDPOINT_ANSWER_INVALID, Execution.MAY_HAVE_RUN, "the answer is not complete: " + reason));
    }

    @Override
    public void onCallerLeft(long completionTokens) {
        delivery.room().cancelled();
        usage.release(completionTokens);
        if (completionTokens > 0) {
            charges.record(chargeOf.apply(completionTokens, false));
        }
    }
}
