package baobabcroft.instance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class EntryInstancePauseTest {
    /** Pattern: an engine of 98 says something new each 100 ms for a minute; each change wakes 82 watches. */
    @Test
    void keepsTheCallsOfALargeFleetUnderWhatEachChangeAtOnceWouldCost() {
        long callsPerInstance = 60_000 / EntryInstance.watchPauseMillis(82);

        assertTrue(82 * callsPerInstance < 82 * 60_000 / 350 / 2, "calls: " + 82 * callsPerInstance);
    }

    @Test
    void isShortInASmallFleetAndBoundedInAnyOther() {
        assertEquals(350, EntryInstance.watchPauseMillis(1));
        assertEquals(350, EntryInstance.watchPauseMillis(9));
        assertEquals(500, EntryInstance.watchPauseMillis(20));
        assertEquals(900, EntryInstance.watchPauseMillis(710));
    }
}
