package baobabcroft.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.standin.engine.EngineSettings;
import baobabcroft.standin.engine.EngineStandin;
import baobabcroft.standin.fault.FaultKind;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.net.URI;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LoadRunnerTest {
    @Nested
    class Arrivals {
        @Test
        void areEqualForEqualSeedsAndMatchTheRate() {
            ArrivalTimes times = ArrivalTimes.create(ArrivalPattern.EXPONENTIAL, 1_000, 7);
            ArrivalTimes sameSeed = ArrivalTimes.create(ArrivalPattern.EXPONENTIAL, 1_000, 7);
            long last = 0;
            for (int i = 0; i < 10_000; i++) {
                last = times.nextNanos();
                assertEquals(last, sameSeed.nextNanos());
            }
            assertEquals(10e9, (double) last, 0.5e9);
        }
    }

    @Nested
    class Runs {
        private final EngineStandin engine = EngineStandin.start(0, 1, EngineSettings.SMALL, Set.of());

        @AfterEach
        void stop() {
            engine.close();
        }

        private TargetReport run(RequestKind kind) {
            URI url = URI.create("http://127.0.0.1:" + engine.port() + "/v1/chat/completions");
            LoadTarget target = new LoadTarget("engine", url, "film@1", Optional.of("key"));
            LoadPlan plan = new LoadPlan(
                    ImmutableList.of(target),
                    kind,
                    ArrivalPattern.CONSTANT,
                    100,
                    0,
                    255,
                    20_000,
                    1,
                    4,
                    40,
                    ImmutableMap.of());
            return LoadRunner.run(plan).get(0);
        }

        @Test
        void countEachRequestOnce() {
            TargetReport report = run(RequestKind.CHAT);
            assertEquals(25, report.sent());
            assertEquals(25, report.whole());
            assertEquals(25, report.end().count());
            assertEquals(ImmutableMap.of("film@1", 25L), engine.counters().runs());
        }

        @Test
        void measureFirstByteOfStreamSeparatelyFromItsEnd() {
            TargetReport report = run(RequestKind.STREAM);
            assertEquals(25, report.whole());
            assertTrue(report.firstByte().meanMicros() < report.end().meanMicros(), report::toString);
        }

        @Test
        void countTruncatedStreamsAsIncomplete() {
            engine.faults().setRate(FaultKind.HALF_ANSWER, 1);
            assertEquals(25, run(RequestKind.STREAM).incomplete());
        }

        @Test
        void countRefusalsByStatus() {
            engine.faults().setRate(FaultKind.ERROR, 1);
            assertEquals(ImmutableMap.of(500, 25L), run(RequestKind.CHAT).refused());
        }

        @Test
        void countFailuresByKind() {
            engine.http().refuseConnections();
            assertEquals(
                    ImmutableMap.of("ConnectException", 25L),
                    run(RequestKind.CHAT).failed());
        }
    }
}
