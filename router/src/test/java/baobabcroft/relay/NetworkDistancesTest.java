package baobabcroft.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableMap;
import org.junit.jupiter.api.Test;

class NetworkDistancesTest {
    private final NetworkDistances distances =
            new NetworkDistances("here", ImmutableMap.of("here", "north", "beside", "north", "away", "south"));

    @Test
    void areThoseOfTheRegionsBeforeAnyConnect() {
        assertEquals(0, distances.costMillis("here"));
        assertEquals(15, distances.costMillis("beside"));
        assertEquals(120, distances.costMillis("away"));
    }

    /** Guards against a region 20 ms away that gets nothing while requests wait here for longer than that. */
    @Test
    void followTheMeasuredRoundTrip() {
        for (int i = 0; i < 10; i++) {
            distances.onConnected("away", 20);
        }

        assertEquals(20, distances.roundTripMillis("away"), 0.1);
        assertEquals(80, distances.costMillis("away"), 0.1);
    }

    /** Load: a slow instance whose event loop is late for one connect in four, by up to half a second. */
    @Test
    void areHardlyMovedByConnectsThatWaitedForTheProcessor() {
        for (int i = 0; i < 40; i++) {
            distances.onConnected("away", i % 4 == 0 ? 400 : 60);
        }

        assertTrue(distances.roundTripMillis("away") < 70, () -> "round trip: " + distances.roundTripMillis("away"));
    }
}
