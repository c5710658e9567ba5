package baobabcroft.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import baobabcroft.balance.LoadReport;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class LoadPollerTest {
    private static Optional<LoadReport> parse(String body) {
        return LoadPoller.parse(body.getBytes(StandardCharsets.UTF_8), 7);
    }

    @Test
    void parsesRunningAndWaitingRequests() {
        assertEquals(Optional.of(new LoadReport(3, 2, 7)), parse("{\"running\":3,\"waiting\":2}"));
    }

    @Test
    void parsesServerLoadAsRunningRequests() {
        assertEquals(Optional.of(new LoadReport(4, 0, 7)), parse("{\"server_load\":4}"));
    }

    @Test
    void returnsEmptyForMalformedBodiesAndNegativeCounts() {
        assertEquals(Optional.empty(), parse("<html>"));
        assertEquals(Optional.empty(), parse("{}"));
        assertEquals(Optional.empty(), parse("{\"running\":-1}"));
    }
}
