package baobabcroft.gateway;

import baobabcroft.balance.FailureKind;
import com.google.common.base.Ticker;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.http.javadsl.model.HttpResponse;

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
    /** Tells that the whole answer came. */
    void succeeded(Ticker ticker) {
        long nowNanos = ticker.read();
        room.succeeded(TimeUnit.NANOSECONDS.toMillis(nowNanos - sentNanos));
        outcomes.succeeded(target, nowNanos - deadlineNanos > 0);
    }

    /** Tells that the answer was not whole or not valid. */
    void failed(FailureKind kind) {
        room.failed(kind);
        outcomes.failed(target);
    }
}
