package baobabcroft.claim;

import static com.google.common.base.Preconditions.checkState;

import baobabcroft.fake.FakeStore;
import baobabcroft.fake.FakeStoreClient;
import baobabcroft.fake.VirtualTime;
import baobabcroft.slot.Decision;
import baobabcroft.slot.SlotLog;
import baobabcroft.slot.SlotLogContext;
import baobabcroft.slot.SlotLogSettings;
import baobabcroft.slot.SlotRecord;
import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Fixture of several instances with claim services over one fake store. */
final class ClaimFleet {
    static final SlotLogSettings ONE_SLOT_SETTINGS = new SlotLogSettings(1, 10, 1_000, 256, 16 * 1024, 10, 1_000);

    final VirtualTime time = new VirtualTime();
    final FakeStore store = new FakeStore(time);
    private final SlotLogSettings settings;
    private final SplittableRandom random = new SplittableRandom(7);

    ClaimFleet(SlotLogSettings settings) {
        this.settings = settings;
    }

    /** Claim service of one instance, with its store connection and metrics. */
    record Instance(ClaimService claims, FakeStoreClient client, MetricRegistry metrics) {
        long count(String event) {
            return metrics.counter("slot." + event).getCount();
        }
    }

    Instance start(String name) {
        FakeStoreClient client = store.connect();
        MetricRegistry metrics = new MetricRegistry();
        SlotLogContext context = new SlotLogContext(
                client, time.scheduler(), Runnable::run, time.ticker(), time.wallClock(), random::nextLong, metrics);
        ClaimService claims = ClaimService.create(
                SlotLog.create(context, settings),
                name,
                ClaimSettings.defaults(),
                time.scheduler(),
                time.wallClock(),
                random::nextLong);
        return new Instance(claims, client, metrics);
    }

    ClaimRequest request(String key) {
        return request(key, "body", 10_000);
    }

    ClaimRequest request(String key, String body, long timeoutMillis) {
        long deadlineEpochMillis = time.wallClock().millis() + timeoutMillis;
        return new ClaimRequest("optika", key, ByteString.copyFromUtf8(body), "orders/place", 100, deadlineEpochMillis);
    }

    <T> T after(long millis, CompletionStage<T> stage) {
        time.advance(millis);
        return now(stage);
    }

    /** Returns the result of a stage, which must be complete. */
    static <T> T now(CompletionStage<T> stage) {
        checkState(stage.toCompletableFuture().isDone(), "stage is not complete");
        return stage.toCompletableFuture().join();
    }

    /** Writes a record directly to its slot, bypassing the claim service. */
    CompletableFuture<Boolean> write(SlotRecord record) {
        SlotLogContext context = new SlotLogContext(
                store.connect(),
                time.scheduler(),
                Runnable::run,
                time.ticker(),
                time.wallClock(),
                random::nextLong,
                new MetricRegistry());
        CompletableFuture<Boolean> written = SlotLog.create(context, settings)
                .submitUntilDone(record.key(), (view, nowEpochMillis) -> new Decision.Put<>(record, true))
                .toCompletableFuture();
        time.advance(100);
        return written;
    }

    /** Claims a request that must be granted, and returns its ticket. */
    ClaimTicket grant(Instance instance, ClaimRequest request) {
        ClaimResult result = after(100, instance.claims().claim(request));
        return ((ClaimResult.Granted) result).ticket();
    }

    static Outcome.Answered answer(String body) {
        return new Outcome.Answered(new RecordedAnswer(200, "text/plain", ByteString.copyFromUtf8(body)));
    }
}
