package baobabcroft.standin.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.standin.StandinClient;
import baobabcroft.standin.fault.FaultKind;
import java.io.IOException;
import java.net.ConnectException;
import java.net.http.HttpResponse;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EngineStandinTest {
    private static final String PATH = "/v1/chat/completions";
    private static final long LIMIT_SECONDS = 20;
    private static final long OUTAGE_MILLIS = 60_000;

    private final EngineStandin engine = EngineStandin.start(0, 1, EngineSettings.SMALL, Set.of("film@1"));
    private final StandinClient client = new StandinClient();

    @AfterEach
    void stop() {
        engine.close();
    }

    private static String body(boolean stream, int maxTokens) {
        return "{\"model\":\"film@1\",\"stream\":" + stream + ",\"max_tokens\":" + maxTokens
                + ",\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}";
    }

    private HttpResponse<String> chat(boolean stream) throws Exception {
        return client.post(engine.port(), PATH, body(stream, 4), "Baobabcroft-Request-Id", "r-1");
    }

    @Nested
    class Answers {
        @Test
        void containTheRequestIdAndTheServedVersion() throws Exception {
            HttpResponse<String> answer = chat(false);
            assertEquals(
                    "r-1", answer.headers().firstValue("Baobabcroft-Request-Id").orElseThrow());
            assertEquals(
                    "film@1",
                    answer.headers().firstValue("Baobabcroft-Served-Version").orElseThrow());
            assertTrue(answer.body().contains("\"completion_tokens\":4"), answer.body());
            assertEquals(1, engine.runsOf("r-1"));
        }

        @Test
        void areIdenticalForTheSameSeed() throws Exception {
            try (EngineStandin twin = EngineStandin.start(0, 1, EngineSettings.SMALL, Set.of())) {
                assertEquals(
                        chat(false).body(),
                        client.post(twin.port(), PATH, body(false, 4), "Baobabcroft-Request-Id", "r-1")
                                .body());
            }
        }

        @Test
        void endAStreamWithTheUsageAndTheDoneMarker() throws Exception {
            String stream = chat(true).body();
            assertEquals(
                    6, stream.lines().filter(line -> line.startsWith("data: ")).count());
            assertTrue(stream.contains("\"finish_reason\":\"stop\""), stream);
            assertTrue(stream.endsWith("data: [DONE]\n\n"), stream);
        }

        @Test
        void areNotFoundForAnUnknownVersion() throws Exception {
            String body = body(false, 4).replace("film@1", "film@2");
            assertEquals(404, client.post(engine.port(), PATH, body).statusCode());
        }
    }

    @Nested
    class Faults {
        @Test
        void crashOnMatchingTextAndThenRefuseConnections() {
            engine.faults().crashOn("hello");
            engine.faults().setOutageMillis(OUTAGE_MILLIS);
            assertThrows(IOException.class, () -> chat(false));
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_SECONDS);
            IOException refused = assertThrows(IOException.class, () -> chat(false));
            while (!(refused instanceof ConnectException) && System.nanoTime() < end) {
                refused = assertThrows(IOException.class, () -> chat(false));
            }
            assertTrue(refused instanceof ConnectException, refused::toString);
        }

        @Test
        void abortTheConnectionInTheMiddleOfAStream() {
            engine.faults().setRate(FaultKind.DIE_MID_ANSWER, 1);
            assertThrows(IOException.class, () -> chat(true));
        }

        @Test
        void truncateAStream() throws Exception {
            engine.faults().setRate(FaultKind.HALF_ANSWER, 1);
            assertFalse(chat(true).body().contains("[DONE]"));
        }

        @Test
        void respondWithTheIdOfAnotherRequest() throws Exception {
            engine.faults().setRate(FaultKind.WRONG_ID, 1);
            assertEquals(
                    "another-request",
                    chat(false).headers().firstValue("Baobabcroft-Request-Id").orElseThrow());
        }

        @Test
        void areConfigurableOverHttp() throws Exception {
            client.post(engine.port(), "/control/fault?kind=error&rate=1", "");
            assertEquals(500, chat(false).statusCode());
        }
    }

    @Nested
    class Cancellation {
        @Test
        void freesTheBatchSlotWhenTheClientDisconnects() throws Exception {
            assertEquals("data:", client.firstBytes(engine.port(), PATH, body(true, 100_000)));
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_SECONDS);
            while (engine.counters().cancelled() == 0 && System.nanoTime() < end) {
                Thread.onSpinWait();
            }
            assertEquals(1, engine.counters().cancelled());
            assertEquals(0, engine.counters().running());
        }
    }
}
