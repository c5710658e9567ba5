package baobabcroft.standin.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import baobabcroft.standin.StandinClient;
import baobabcroft.standin.fault.FaultKind;
import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ServiceStandinTest {
    private final ServiceStandin service = ServiceStandin.start(0, 1);
    private final StandinClient client = new StandinClient();

    @AfterEach
    void stop() {
        service.close();
    }

    private int call(String... headers) throws Exception {
        return client.post(service.port(), "/place", "{}", headers).statusCode();
    }

    @Test
    void countsRunsByIdempotencyKey() throws Exception {
        call("Idempotency-Key", "k");
        call("Idempotency-Key", "k");
        call("Idempotency-Key", "other");
        assertEquals(2, service.runsOf("k"));
    }

    @Test
    void countsARunWhoseResponseIsLost() {
        service.faults().setRate(FaultKind.DIE_MID_ANSWER, 1);
        assertThrows(IOException.class, () -> call("Idempotency-Key", "k"));
        assertEquals(1, service.runsOf("k"));
    }

    @Test
    void rejectsAStaleFencingTokenIfTokensAreChecked() throws Exception {
        assertEquals(200, call("Baobabcroft-Fencing", "5"));
        assertEquals(200, call("Baobabcroft-Fencing", "4"));
        service.setChecksFencing(true);
        assertEquals(200, call("Baobabcroft-Fencing", "5"));
        assertEquals(412, call("Baobabcroft-Fencing", "4", "Idempotency-Key", "k"));
        assertEquals(0, service.runsOf("k"));
    }
}
