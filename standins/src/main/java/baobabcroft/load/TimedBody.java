package baobabcroft.load;

import com.google.common.base.Ticker;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;

/** Body subscriber that collects a response as UTF-8 text and records the arrival time of its first byte. */
final class TimedBody implements HttpResponse.BodySubscriber<TimedBody.TimedText> {
    private final HttpResponse.BodySubscriber<String> text =
            HttpResponse.BodySubscribers.ofString(StandardCharsets.UTF_8);
    private final Ticker ticker;
    private volatile long firstByteNanos;
    private volatile boolean started;

    TimedBody(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Response text with the ticker time of its first byte, or of its end if the body was empty. */
    record TimedText(String text, long firstByteNanos) {}

    @Override
    public CompletionStage<TimedText> getBody() {
        return text.getBody().thenApply(body -> new TimedText(body, started ? firstByteNanos : ticker.read()));
    }

    @Override
    public void onSubscribe(Flow.Subscription subscription) {
        text.onSubscribe(subscription);
    }

    @Override
    public void onNext(List<ByteBuffer> parts) {
        if (!started) {
            firstByteNanos = ticker.read();
            started = true;
        }
        text.onNext(parts);
    }

    @Override
    public void onError(Throwable failure) {
        text.onError(failure);
    }

    @Override
    public void onComplete() {
        text.onComplete();
    }
}
