package baobabcroft.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.directory.EndpointEntry;
import baobabcroft.load.PeerLoads;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EndpointLoadsTest {
    private final EndpointEntry endpoint = RelayFixture.endpoint("orders", 1);
    private final PeerLoads remote = PeerLoads.create(() -> 0);
    private final EndpointLoads loads = EndpointLoads.create(() -> 0, remote, () -> {});

    private EndpointLoads.InFlightRequest start() {
        return loads.stateOf(endpoint).startRequest(Optional.empty(), Prompt.NONE, 0);
    }

    /** A sound endpoint may be silent for a second. */
    @Nested
    class Silence {
        @Test
        void thatLastsOneConnectTimeoutIsNoFailure() {
            start().connectTimedOut();

            assertTrue(loads.stateOf(endpoint).isEjected());
            assertEquals(0, loads.stateOf(endpoint).load().failureRate());
        }

        @Test
        void thatLastsTwoConnectTimeoutsIsAFailure() {
            start().connectTimedOut();
            start().connectTimedOut();

            assertTrue(loads.stateOf(endpoint).load().failureRate() > 0);
        }
    }

    /** Guards against RECOVER: an instance without links tells all others that every endpoint fails. */
    @Nested
    class Isolation {
        @Test
        void forgetsFailuresThatItMayHaveCaused() {
            start().failed();
            assertEquals(1, loads.localLoads().size());
            loads.setIsolated(true);

            assertEquals(Map.of(), loads.localLoads());
            assertFalse(loads.stateOf(endpoint).isEjected());
        }

        @Test
        void addsNoFailures() {
            EndpointLoads.InFlightRequest open = start();
            loads.setIsolated(true);
            open.failed();
            loads.setIsolated(false);

            assertEquals(Map.of(), loads.localLoads());
            assertEquals(0, loads.stateOf(endpoint).load().failureRate());
        }

        @Test
        void endsWithTheReturn() {
            loads.setIsolated(true);
            loads.setIsolated(false);
            start().failed();

            assertTrue(loads.stateOf(endpoint).isEjected());
            assertEquals(1, loads.localLoads().size());
        }
    }
}
