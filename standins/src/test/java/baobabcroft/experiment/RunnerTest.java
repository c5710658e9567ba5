package baobabcroft.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class RunnerTest {
    private final Scenario scenario = Scenario.named("poison").orElseThrow();
    private final Runner runner = new Runner(scenario, Deployment.mizukumi(), 5);

    @Test
    void theSameSeedGivesTheSameResult() {
        Result again = new Runner(scenario, Deployment.mizukumi(), 5).run(Policy.product());
        assertEquals(runner.run(Policy.product()), again);
    }

    @Test
    void everyRequestEndsOnceAndPoisonCrashesTwoEndpoints() {
        Result result = runner.run(Policy.product());
        int ended = result.results().entrySet().stream()
                .filter(entry -> !entry.getKey().startsWith("retry_"))
                .mapToInt(entry -> entry.getValue())
                .sum();
        assertEquals(result.offered(), ended);
        assertEquals(2, result.crashes());
    }

    @Test
    void theOracleCostsNoMoreThanTheBestFixedModel() {
        List<SimRequest> requests =
                new Runner(Scenario.named("ordinary-cost").orElseThrow(), Deployment.kovacic(), 5).requests();
        CostOracle.Outcome oracle = CostOracle.leastCost(requests);
        assertTrue(oracle.quality() >= CostOracle.QUALITY_TARGET);
        assertTrue(oracle.costMicros() <= CostOracle.bestFixed(requests).costMicros());
    }

    @Nested
    final class Engines {
        private final EventLoop loop = new EventLoop();
        private final Engine engine = new Engine("e", "d", new EngineModel(10, 1, 2, 100, 1), loop);

        private double endMillis(int jobs) {
            SimRequest request = new SimRequest(0, 0, 0, 0, 0, 200, 100, 1, 10, 10, 1_000, List.of(1.0), 0.5, false);
            double[] endMillis = new double[1];
            double startMillis = loop.nowMillis();
            for (int i = 0; i < jobs; i++) {
                engine.submit(new Engine.Job(
                        request, 1, () -> {}, () -> endMillis[0] = loop.nowMillis() - startMillis, () -> {}));
            }
            loop.runUntil(startMillis + 10_000);
            return endMillis[0];
        }

        @Test
        void stepsGrowWithBatchSizeAndCachedPrefixesAreNotProcessedAgain() {
            assertEquals(12 * 11, endMillis(1), 1e-3);
            assertEquals(11 * 11, endMillis(1), 1e-3);
            assertEquals(11 * 12, endMillis(2), 1e-3);
        }
    }
}
