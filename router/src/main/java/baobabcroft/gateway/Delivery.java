package baobabcroft.gateway;

import baobabcroft.balance.FailureKind;
import baobabcroft.common.ErrorCode;
import baobabcroft.common.Execution;
import baobabcroft.common.RouterException;
import com.google.common.base.Ticker;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.util.ByteString;

/**
 * An endpoint's answer whose body is still to be read. One of the outcomes is to be told when it has been.
 *
 * @param response the answer
 * @param room the room that the request takes on the endpoint until its outcome is told
 * @param target where the request went
 * @param configNumber number of the configuration under which it was sent
 * @param sentNanos monotonic time of the send, in nanoseconds
 * @param deadlineNanos monotonic time by which the whole answer is wanted, in nanoseconds
 * @param outcomes collects evidence on versions
 */
record Delivery(
        HttpResponse response,
        Room room,
        Target target,
        long configNumber,
        long sentNanos,
        long deadlineNanos,
        VersionOutcomes outcomes) {
    /** Tells that the whole answer came, with how many generated tokens. */
    void succeeded(Ticker ticker, long tokens) {
        long nowNanos = ticker.read();
        room.succeeded(TimeUnit.NANOSECONDS.toMillis(nowNanos - sentNanos), tokens);
        outcomes.succeeded(target, nowNanos - deadlineNanos > 0);
    }

    /** Returns the whole body; on failure tells that it was not whole and fails with the verdict "may have run". */
    CompletionStage<ByteString> readBody(long maxBytes, long timeoutMillis, ActorSystem<?> system) {
        return Entities.read(response.entity(), maxBytes, timeoutMillis, system).handle((bytes, failure) -> {
            if (failure == null) {
                return bytes;
            }
            failed(FailureKind.INVALID_ANSWER);
            throw RouterException.of(
                    ErrorCode.ENDPOINT_ANSWER_INVALID,
                    Execution.MAY_HAVE_RUN,
                    "the endpoint's answer broke off: " + failure.getMessage());
        });
    }

    /** Returns an answer to the caller with headers that name the endpoint and the configuration. */
    HttpResponse withProvenance(HttpResponse answer) {
        return answer.addHeader(
                        RawHeader.create(Headers.ENDPOINT, room.endpoint().name()))
                .addHeader(RawHeader.create(Headers.CONFIG_VERSION, Long.toString(configNumber)));
    }

    /** Tells that the answer was not whole or not valid. */
    void failed(FailureKind kind) {
        room.failed(kind);
        outcomes.failed(target);
    }
}
