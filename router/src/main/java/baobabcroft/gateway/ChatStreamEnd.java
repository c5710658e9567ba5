package baobabcroft.gateway;

import baobabcroft.balance.FailureKind;
import baobabcroft.chat.StreamObserver;
import baobabcroft.common.ErrorCode;
import baobabcroft.common.Execution;
import baobabcroft.common.RouterException;
import baobabcroft.limit.AccountUsage;
import com.google.common.base.Ticker;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.BiFunction;

/** Records the charge for a streamed response before its end is released, and reports the outcome to the pool. */
final class ChatStreamEnd implements StreamObserver {
    private final Delivery delivery;
    private final Charges charges;
    private final AccountUsage usage;
    private final BiFunction<Long, Boolean, Charge> chargeOf;
    private final Ticker ticker;

    ChatStreamEnd(
            Delivery delivery,
            Charges charges,
            AccountUsage usage,
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
        usage.ended(completionTokens);
        return charges.record(chargeOf.apply(completionTokens, true))
                .handle((unused, failure) ->
                        Optional.ofNullable(failure).map(Problems::toRefusal).map(Problems::streamErrorJson));
    }

    @Override
    public String onBroken(long completionTokens, String reason) {
        delivery.failed(FailureKind.INVALID_ANSWER);
        usage.ended(completionTokens);
        return Problems.streamErrorJson(RouterException.of(
                ErrorCode.ENDPOINT_ANSWER_INVALID,
                Execution.MAY_HAVE_RUN,
                "the response is incomplete or invalid: " + reason));
    }

    @Override
    public void onCallerLeft(long completionTokens) {
        delivery.room().cancelled();
        usage.ended(completionTokens);
        if (completionTokens > 0) {
            charges.record(chargeOf.apply(completionTokens, false));
        }
    }
}
