package baobabcroft.replica;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** How long changes of the store take to reach the instances of one failure domain whose links have a rate. */
class ViewAgeTest {
    /** Time within which a change must be in force at instances on links as narrow as these. */
    private static final long PROPAGATION_BOUND_MILLIS = 4_000;
    /** The shortest bound of a deployment. */
    private static final long SHORTEST_BOUND_MILLIS = 3_000;
    /** Leaves half a second of that bound to requests that have been sent and to waits for a connection. */
    private static final long MAX_LOST_PATH_MILLIS = 2_500;

    private static final int LARGE_ROUTES = 1_400;
    private static final int SMALL_ROUTES = 10;

    private static void assertAtMost(long boundMillis, ViewAgeModel model) {
        assertTrue(model.oldestMillis() <= boundMillis, "oldest view: " + model.oldestMillis() + " ms");
    }

    @Nested
    class LargeConfigurations {
        /**
         * A change reaches all instances in time while large configurations come in series. Followers of an instance on
         * a narrow link used to apply each version after all former ones had been sent to all of them.
         */
        @ParameterizedTest
        @CsvSource({"2, 7", "3, 7", "14, 7", "14, 140", "50, 7", "50, 140"})
        void arriveInTimeInSeries(int instances, double linkMegabitsPerSecond) {
            ViewAgeModel model = ViewAgeModel.start(instances, linkMegabitsPerSecond, LARGE_ROUTES);
            model.changeInSeries(ViewAgeModel.CHANGES);

            assertAtMost(PROPAGATION_BOUND_MILLIS, model);
        }

        @Test
        void arriveInTimeAlone() {
            ViewAgeModel model = ViewAgeModel.start(14, 7, LARGE_ROUTES);
            model.changeInSeries(1);

            assertAtMost(PROPAGATION_BOUND_MILLIS, model);
        }
    }

    @Nested
    class ImpairedSources {
        private final ViewAgeModel model = ViewAgeModel.start(8, 140, SMALL_ROUTES);

        /** The source's messages arrive late. */
        @Test
        void areLeftWhileTheirOutgoingLinkIsFull() {
            model.fleet().slowOutgoingLink(model.source(), 0.02);
            model.changeInSeries(ViewAgeModel.CHANGES);

            assertAtMost(SHORTEST_BOUND_MILLIS, model);
        }

        /**
         * The source receives the store's responses slowly and sends heartbeats in time. Guards against CONFIG:
         * followers took any message for contact with the store, however old the view was that it carried.
         */
        @Test
        void areLeftWhileTheirIncomingLinkIsFull() {
            model.fleet().slowIncomingLink(model.source(), 0.001);
            model.excuse(model.source());
            model.changeInSeries(ViewAgeModel.CHANGES);

            assertAtMost(SHORTEST_BOUND_MILLIS, model);
        }

        /** The store stops responding to the source at different times of its watch; the others could read it. */
        @Test
        void areLeftAfterTheyLostTheirPath() {
            for (int cut = 0; cut < 6; cut++) {
                model.advance(10_000 + 230 * cut);
                model.store().cut(model.source().name());
                model.excuse(model.source());
                model.changeEndpoint(100 + cut);
                model.advance(SHORTEST_BOUND_MILLIS);
            }

            assertAtMost(MAX_LOST_PATH_MILLIS, model);
        }
    }
}
