package baobabcroft.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import baobabcroft.fake.FakeStore;
import baobabcroft.fake.VirtualTime;
import baobabcroft.rules.VersionId;
import baobabcroft.slot.SlotLog;
import baobabcroft.slot.SlotLogContext;
import baobabcroft.slot.SlotLogSettings;
import com.codahale.metrics.MetricRegistry;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SessionServiceTest {
    private static final VersionId OLD = new VersionId("film", "1");
    private static final VersionId NEW = new VersionId("film", "2");
    private static final long HOUR_MILLIS = 3_600_000;

    private final VirtualTime time = new VirtualTime();
    private final FakeStore store = new FakeStore(time);
    private final SplittableRandom random = new SplittableRandom(3);
    private final SessionService first = start();
    private final SessionService second = start();

    private SessionService start() {
        SlotLogContext context = new SlotLogContext(
                store.connect(),
                time.scheduler(),
                Runnable::run,
                time.ticker(),
                time.wallClock(),
                random::nextLong,
                new MetricRegistry());
        return SessionService.create(
                SlotLog.create(context, SlotLogSettings.defaults()), SessionSettings.defaults(), time.wallClock());
    }

    private PinResult pin(SessionService sessions, VersionId choice, boolean neverHadSecondVersion) {
        CompletableFuture<PinResult> result = sessions.pin("optika", "s", "film", () -> choice, neverHadSecondVersion)
                .toCompletableFuture();
        time.advance(2_000);
        return result.getNow(null);
    }

    private PinResult pin(SessionService sessions, VersionId choice) {
        return pin(sessions, choice, false);
    }

    @Nested
    class StoreAvailable {
        @Test
        void firstChoiceAppliesOnAllInstances() {
            assertEquals(new PinResult.Pinned(OLD, true), pin(first, OLD));
            assertEquals(new PinResult.Pinned(OLD, false), pin(second, NEW));
        }

        @Test
        void concurrentChoicesResultInOneVersion() {
            CompletableFuture<PinResult> one =
                    first.pin("optika", "s", "film", () -> OLD, false).toCompletableFuture();
            CompletableFuture<PinResult> other =
                    second.pin("optika", "s", "film", () -> NEW, false).toCompletableFuture();
            time.advance(100);
            VersionId kept =
                    assertInstanceOf(PinResult.Pinned.class, one.getNow(null)).version();
            assertEquals(
                    kept,
                    assertInstanceOf(PinResult.Pinned.class, other.getNow(null)).version());
        }

        @Test
        void sessionInUseStaysPinnedForDays() {
            pin(first, OLD);
            for (int hour = 0; hour < 72; hour++) {
                time.advance(HOUR_MILLIS);
                pin(first, NEW);
            }
            assertEquals(new PinResult.Pinned(OLD, false), pin(second, NEW));
        }

        @Test
        void expiredSessionIsPinnedAnew() {
            pin(first, OLD);
            time.advance(25 * HOUR_MILLIS);
            assertEquals(new PinResult.Pinned(NEW, true), pin(first, NEW));
        }
    }

    @Nested
    class StoreUnavailable {
        @Test
        void cachedSessionIsServed() {
            pin(first, OLD);
            store.setDown(true);
            assertEquals(new PinResult.Pinned(OLD, false), pin(first, NEW));
        }

        @Test
        void newSessionIsUnavailable() {
            store.setDown(true);
            assertInstanceOf(PinResult.Unavailable.class, pin(first, OLD));
        }

        @Test
        void newSessionOfModelWithOneVersionIsPinnedOnceStoreIsAvailable() {
            store.setDown(true);
            assertEquals(new PinResult.Pinned(OLD, true), pin(first, OLD, true));
            store.setDown(false);
            time.advance(2_000);
            assertEquals(new PinResult.Pinned(OLD, false), pin(second, NEW));
        }
    }
}
