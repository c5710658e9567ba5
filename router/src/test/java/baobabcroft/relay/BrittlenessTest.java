package baobabcroft.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.directory.EndpointEntry;
import baobabcroft.relay.RelayFixture.Caller;
import baobabcroft.relay.RelayFixture.SentRequest;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** One instance alone before endpoints of six places each. */
class BrittlenessTest {
    private static final Header NOT_RUN = new Header("not-run", "1");

    private final RelayFixture relay = RelayFixture.create();
    private final EndpointEntry nearest = RelayFixture.endpoint("orders", 1);

    private static Header brittle(String tolerated) {
        return new Header("brittle", tolerated);
    }

    private SentRequest start() {
        relay.start("/order/1", new Caller());
        return relay.lastRequest();
    }

    private long open(EndpointEntry endpoint) {
        return relay.sentRequests.stream()
                .filter(sent -> sent.endpoint.equals(endpoint))
                .count();
    }

    /** Fills the nearest endpoint as far as it takes requests, and returns how many were sent there. */
    private long fill() {
        long before = open(nearest);
        for (int i = 0; i < 40; i++) {
            start();
        }
        return open(nearest) - before;
    }

    @Nested
    class OpenRequests {
        @ParameterizedTest
        @CsvSource({"0, 5", "1, 6", "3, 8"})
        void areAsManyAsThePlacesAndTheToleratedRejectionsButOne(String tolerated, long expected) {
            start().answer(200, "done", brittle(tolerated));

            assertEquals(expected, fill());
        }

        /** The endpoints of a service are brittle together. */
        @Test
        void areFewerAtEndpointsThatHaveNotAnsweredYet() {
            start().answer(200, "done", brittle("1"));
            fill();

            assertEquals(6, open(RelayFixture.endpoint("orders", 2)));
        }

        @Test
        void areNotBoundOnceTheEndpointSaysNothing() {
            start().answer(200, "done", brittle("0"));
            relay.advance(100);
            start().answer(200, "done");

            assertTrue(fill() > 8);
            assertEquals(List.of("brittle orders-1 0", "brittle ended orders-1"), relay.statements);
        }

        @ParameterizedTest
        @ValueSource(strings = {"-1", "many", "", "1.5"})
        void areNotBoundByWhatIsNoNumber(String value) {
            start().answer(200, "done", brittle(value));

            assertTrue(fill() > 8);
        }

        /** An answer that was on its way for long ends nothing. */
        @Test
        void staySoAfterAnswersToEarlierRequests() {
            SentRequest early = start();
            relay.advance(100);
            start().answer(200, "done", brittle("1"));
            early.answer(200, "done");

            assertEquals(6, fill());
        }
    }

    @Nested
    class Rejections {
        private void rejectOne() {
            start().answer(200, "done", brittle("3"));
            start().answer(503, "", NOT_RUN, brittle("3"));
        }

        /** Guards against LIMIT: rejected requests that come back within the second make the endpoint fall over. */
        @Test
        void keepThisInstanceAwayForMoreThanASecond() {
            rejectOne();
            relay.advance(1_000);
            assertFalse(relay.availability.isAvailable(nearest));
            relay.advance(500);

            assertTrue(relay.availability.isAvailable(nearest));
        }

        @Test
        void keepItAwayLongerEachTimeUntilARequestIsTaken() {
            rejectOne();
            relay.advance(1_500);
            start().answer(503, "", NOT_RUN, brittle("3"));
            relay.advance(1_500);
            assertFalse(relay.availability.isAvailable(nearest));
            relay.advance(1_000);
            start().answer(200, "done", brittle("3"));
            start().answer(503, "", NOT_RUN, brittle("3"));
            relay.advance(1_300);

            assertTrue(relay.availability.isAvailable(nearest));
        }
    }
}
