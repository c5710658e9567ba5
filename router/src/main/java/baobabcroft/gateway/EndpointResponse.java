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
 * A response of an endpoint whose body has not been read yet. The reader of the body must report the outcome.
 *
 * @param response the HTTP response
 * @param reservation the capacity reserved on the endpoint, released when the outcome is reported
 * @param target the target to which the request was sent
 * @param configNumber number of the configuration under which the request was sent
 * @param sentNanos monotonic time of the send, in nanoseconds
 * @param deadlineNanos monotonic time by which the response must be complete, in nanoseconds
 * @param outcomeReporter receives the outcome as roll-out evidence
 */
record EndpointResponse(
        HttpResponse response,
        EndpointReservation reservation,
        Target target,
        long configNumber,
        long sentNanos,
        long deadlineNanos,
        VersionOutcomeReporter outcomeReporter) {
    /** Reports a complete response with the given number of generated tokens. */
    void reportSuccess(Ticker ticker, long tokens) {
        long nowNanos = ticker.read();
        reservation.succeeded(TimeUnit.NANOSECONDS.toMillis(nowNanos - sentNanos), tokens);
        outcomeReporter.reportSuccess(target, nowNanos - deadlineNanos > 0);
    }

    /**
     * Reads the body. Reports a failure if the body cannot be read completely.
     *
     * @return the body; fails with {@code endpoint_answer_invalid} and execution status "may have run"
     */
    CompletionStage<ByteString> readBody(long maxBytes, long timeoutMillis, ActorSystem<?> system) {
        return EntityReader.read(response.entity(), maxBytes, timeoutMillis, system)
                .handle((bytes, failure) -> {
                    if (failure == null) {
                        return bytes;
                    }
                    reportFailure(FailureKind.INVALID_ANSWER);
                    throw RouterException.of(
                            ErrorCode.ENDPOINT_ANSWER_INVALID,
                            Execution.MAY_HAVE_RUN,
                            "the endpoint's response body could not be read: " + failure.getMessage());
                });
    }

    /** Returns the response with headers that name the endpoint and the configuration. */
    HttpResponse withProvenance(HttpResponse callerResponse) {
        return callerResponse
                .addHeader(RawHeader.create(
                        Headers.ENDPOINT, reservation.endpoint().name()))
                .addHeader(RawHeader.create(Headers.CONFIG_VERSION, Long.toString(configNumber)));
    }

    /** Reports an incomplete or invalid response. */
    void reportFailure(FailureKind kind) {
        reservation.failed(kind);
        outcomeReporter.reportFailure(target);
    }
}
