package baobabcroft.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Load: endpoints of 0.6, 1 and 1.6 times the usual speed that serve requests of the same kind. */
class EndpointSpeedsTest {
    private static final String KIND = "small";
    private static final double TOKEN_MILLIS = 0.02;

    private long nowMillis;
    private final EndpointSpeeds speeds = EndpointSpeeds.create(() -> nowMillis);
    private final EndpointSpeeds.Speed slow = speeds.newEndpoint();
    private final EndpointSpeeds.Speed usual = speeds.newEndpoint();
    private final EndpointSpeeds.Speed fast = speeds.newEndpoint();

    private void observe(int rounds) {
        for (int i = 0; i < rounds; i++) {
            slow.observe(KIND, 0.07, TOKEN_MILLIS / 0.6);
            usual.observe(KIND, 0.07, TOKEN_MILLIS);
            fast.observe(KIND, 0.07, TOKEN_MILLIS / 1.6);
        }
    }

    /** Guards against requests that go to a slow endpoint as if it were a fast one until they queue there. */
    @Test
    void tellsSlowFromFastEndpoints() {
        observe(10);

        assertTrue(slow.timeFactor() / usual.timeFactor() > 1.4, () -> "slow: " + slow.timeFactor());
        assertTrue(usual.timeFactor() / fast.timeFactor() > 1.3, () -> "fast: " + fast.timeFactor());
    }

    /** Guards against a lost packet, or one wait behind an unknown request, that makes an endpoint look slow. */
    @Test
    void movesLittleByOneLateObservation() {
        observe(10);
        double before = usual.timeFactor();
        double usualBefore = speeds.usualMillis(KIND, 0.07);
        usual.observe(KIND, 0.07, 50 * TOKEN_MILLIS);

        assertTrue(usual.timeFactor() < 1.15 * before, () -> "factor: " + usual.timeFactor());
        assertTrue(speeds.usualMillis(KIND, 0.07) < 1.1 * usualBefore);
    }

    @Test
    void takesAnEndpointWithoutObservationsForAUsualOne() {
        observe(10);

        assertEquals(1, speeds.newEndpoint().timeFactor());
    }

    @Test
    void forgetsTheSpeedOfAnEndpointThatIsNotUsed() {
        observe(10);
        nowMillis += 600_000;

        assertEquals(1, slow.timeFactor(), 0.05);
    }
}
