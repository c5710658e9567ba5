package baobabcroft.standin.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EngineModelTest {
    private static final double EXACT = 1e-6;
    private static final EngineSettings SETTINGS = new EngineSettings(2, 10, 0.5, 1, 16, 8, 10_000, 500);

    private final EngineModel engine = EngineModel.create(SETTINGS);

    private static EngineRequest request(long id, int answerTokens, int priority) {
        return new EngineRequest(id, List.of(), 0, answerTokens, priority, false);
    }

    private static EngineRequest prompt(long id, int blocks) {
        List<Long> keys = LongStream.range(0, blocks).boxed().toList();
        return new EngineRequest(id, keys, blocks * 16, 1, 0, false);
    }

    private double finishMillis(long id, List<EngineEvent> before) {
        List<EngineEvent> events = new ArrayList<>(before);
        while (engine.nextEventMillis().isPresent()) {
            events.addAll(engine.advance(engine.nextEventMillis().getAsDouble()));
        }
        return events.stream()
                .filter(event -> event.requestId() == id && event.kind() == EngineEvent.Kind.FINISHED)
                .findFirst()
                .orElseThrow()
                .atMillis();
    }

    @Nested
    class Batching {
        @Test
        void singleRequestTakesTheTimeOfItsTokens() {
            assertEquals(100, finishMillis(1, engine.submit(request(1, 10, 0), 0)), EXACT);
        }

        @Test
        void concurrentRequestsSlowEachOtherDown() {
            engine.submit(request(1, 10, 0), 0);
            assertEquals(150, finishMillis(2, engine.submit(request(2, 10, 0), 0)), EXACT);
        }

        @Test
        void cancellationSpeedsUpTheRemainingRequests() {
            engine.submit(request(1, 10, 0), 0);
            engine.submit(request(2, 10, 0), 0);
            List<EngineEvent> events = engine.cancel(2, 75);
            assertEquals(125, finishMillis(1, events), EXACT);
            assertEquals(1, engine.cancelledCount());
        }

        @Test
        void startsWaitingRequestsByPriority() {
            engine.submit(request(1, 10, 0), 0);
            engine.submit(request(2, 20, 0), 0);
            engine.submit(request(3, 10, 0), 0);
            engine.submit(request(4, 10, 5), 0);
            List<Long> started = engine.advance(1_000).stream()
                    .filter(event -> event.kind() == EngineEvent.Kind.STARTED)
                    .map(EngineEvent::requestId)
                    .toList();
            assertEquals(List.of(4L, 3L), started);
        }

        @Test
        void emitsAnEventForEachTokenIfRequested() {
            engine.submit(new EngineRequest(1, List.of(), 0, 3, 0, true), 0);
            List<Integer> tokens = engine.advance(100).stream()
                    .filter(event -> event.kind() != EngineEvent.Kind.FINISHED)
                    .map(EngineEvent::tokens)
                    .toList();
            assertEquals(List.of(1, 2, 3), tokens);
        }
    }

    @Nested
    class PrefixCaching {
        @Test
        void skipsPrefillOfTheCachedPrefix() {
            assertEquals(4 * 16 + 10, finishMillis(1, engine.submit(prompt(1, 4), 0)), EXACT);
            assertEquals(1_000 + 2 * 16 + 10, finishMillis(2, engine.submit(prompt(2, 6), 1_000)), EXACT);
        }

        @Test
        void evictsTheLeastRecentlyUsedBlocks() {
            finishMillis(1, engine.submit(prompt(1, 4), 0));
            EngineRequest other = new EngineRequest(2, List.of(11L, 12L, 13L, 14L, 15L), 80, 1, 0, false);
            finishMillis(2, engine.submit(other, 1_000));
            assertEquals(2_000 + 4 * 16 + 10, finishMillis(3, engine.submit(prompt(3, 4), 2_000)), EXACT);
        }
    }

    @Nested
    class LoadReports {
        @Test
        void lagBehindTheActualLoad() {
            engine.submit(request(1, 1_000, 0), 100);
            assertEquals(0, engine.reportedLoad(599).running());
            assertEquals(1, engine.reportedLoad(600).running());
        }
    }
}
