package baobabcroft.gateway;

import baobabcroft.balance.FailureKind;
import com.google.common.base.Ticker;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/**
 * An endpoint's answer whose body is still to be read.
 *
 * @param response the answer
 * @param room the room that the request takes on the endpoint until its outcome is told
 * @param target where the request went
 * @param configNumber number of the configuration under which it was sent
 * @param sentNanos monotonic time of the send, in nanoseconds
 */
record Delivery(HttpResponse response, Room room, Target target, long configNumber, long sentNanos) {
    /** Tells the pool that the whole answer came. */
    void succeeded(Ticker ticker) {
        room.succeeded(TimeUnit.NANOSECONDS.toMillis(ticker.read() - sentNanos));
    }

    /** Tells the pool that the answer was not whole or not valid. */
    void failed(FailureKind kind) {
        room.failed(kind);
    }
}
