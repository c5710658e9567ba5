package baobabcroft.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class EndpointPriorityTest {
    /**
     * Load: long digests (priority 0, 9,190 tokens) among chats (priority 2, 715 tokens). Guards against the digest
     * that waits behind them because of its size: both had a priority of 2.
     */
    @Test
    void ofALongUrgentRequestIsHigherThanOfAShortOne() {
        assertTrue(EndpointPriority.of(0, 2, 2) < EndpointPriority.of(1, 2, 0));
        assertTrue(EndpointPriority.of(1, 2, 4) < EndpointPriority.of(2, 2, 0));
    }

    @Test
    void prefersShortPromptsOfTheSameConfiguredPriority() {
        assertTrue(EndpointPriority.of(1, 2, 0) < EndpointPriority.of(1, 2, 1));
    }

    @Test
    void staysWithinTheValuesOfEndpoints() {
        for (int lowest = 0; lowest < 10; lowest++) {
            for (int priority = 0; priority <= lowest; priority++) {
                int value = EndpointPriority.of(priority, lowest, 4);
                assertTrue(value >= priority && value <= 9, "%s of %s".formatted(priority, lowest));
            }
        }
        assertEquals(25, EndpointPriority.of(25, 2, 4));
    }
}
