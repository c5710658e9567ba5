package baobabcroft.chat;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class SseRelayTest {
    private static final String VERSION = "film-small@1";
    private static final String DONE = "data: [DONE]\n\n";
    private static ActorSystem system;

    private final Observer observer = new Observer();

    @BeforeAll
    static void start() {
        system = ActorSystem.create();
    }

    @AfterAll
    static void stop() {
        system.terminate();
    }

    private static String chunk(String id, String model, String content, String finish) {
        return "data: {\"id\":\"" + id + "\",\"model\":\"" + model + "\",\"choices\":[{\"delta\":{\"content\":\""
                + content + "\"},\"finish_reason\":" + finish + "}]}\n\n";
    }

    private static String contentEvent(String content) {
        return chunk("a", VERSION, content, "null");
    }

    private static final String FINAL_CHUNK = chunk("a", VERSION, "", "\"stop\"");
    private static final String USAGE =
            "data: {\"id\":\"a\",\"model\":\"film-small@1\",\"choices\":[],\"usage\":{\"completion_tokens\":7}}\n\n";

    private String relay(boolean relayUsage, String... parts) throws Exception {
        return Source.from(List.of(parts))
                .map(ByteString::fromString)
                .via(SseRelay.create(VERSION, 1, relayUsage, observer))
                .runWith(Sink.fold(ByteString.emptyByteString(), ByteString::concat), system)
                .toCompletableFuture()
                .get(20, TimeUnit.SECONDS)
                .utf8String();
    }

    @Nested
    final class CompleteStream {
        @Test
        void isRelayedUnchanged() throws Exception {
            String stream = contentEvent("five") + contentEvent(" minutes") + FINAL_CHUNK + DONE;

            assertEquals(stream, relay(false, stream));
        }

        @Test
        void isRelayedUnchangedWhenSplitAtAnyByte() throws Exception {
            String stream = contentEvent("a") + FINAL_CHUNK + DONE;
            for (int cut = 1; cut < stream.length(); cut++) {
                assertEquals(stream, relay(false, stream.substring(0, cut), stream.substring(cut)));
            }
        }

        @Test
        void isRelayedUnchangedWithCrLfLineEndings() throws Exception {
            String stream = (contentEvent("five") + FINAL_CHUNK + DONE).replace("\n", "\r\n");

            assertEquals(stream, relay(false, stream));
        }

        @Test
        void completesAtDoneEventWhileConnectionStaysOpen() throws Exception {
            String stream = contentEvent("five") + FINAL_CHUNK + DONE;

            String out = Source.from(List.of(stream))
                    .map(ByteString::fromString)
                    .concat(Source.maybe())
                    .via(SseRelay.create(VERSION, 1, false, observer))
                    .runWith(Sink.fold(ByteString.emptyByteString(), ByteString::concat), system)
                    .toCompletableFuture()
                    .get(20, TimeUnit.SECONDS)
                    .utf8String();

            assertEquals(stream, out);
        }

        @Test
        void reportsTokensFromUsageAndHidesUsageUnlessRequested() throws Exception {
            String out = relay(false, contentEvent("a"), FINAL_CHUNK, USAGE, DONE);

            assertEquals(7, observer.completeTokens);
            assertFalse(out.contains("usage"));
        }

        @Test
        void relaysUsageIfRequested() throws Exception {
            assertTrue(relay(true, contentEvent("a"), FINAL_CHUNK, USAGE, DONE).contains("usage"));
        }

        @Test
        void endsWithErrorIfFinalEventsAreNotReleased() throws Exception {
            observer.errorOnRelease = Optional.of("{\"error\":{}}");

            String out = relay(false, contentEvent("a"), FINAL_CHUNK, DONE);

            assertEquals(contentEvent("a") + "data: {\"error\":{}}\n\n", out);
        }
    }

    @Nested
    final class InvalidStream {
        @Test
        void failsWithoutDoneEvent() throws Exception {
            assertFailed(relay(false, contentEvent("a"), FINAL_CHUNK));
        }

        @Test
        void failsIfAChoiceIsUnfinished() throws Exception {
            assertFailed(relay(false, contentEvent("a"), DONE));
        }

        @Test
        void failsAtEventOfAnotherCompletion() throws Exception {
            assertFailed(relay(false, contentEvent("a"), chunk("b", VERSION, "crossed", "null"), FINAL_CHUNK, DONE));
        }

        @Test
        void failsAtEventOfAnotherVersion() throws Exception {
            assertFailed(relay(false, chunk("a", "film-small@2", "x", "null"), FINAL_CHUNK, DONE));
        }

        @Test
        void failsAtMalformedEvent() throws Exception {
            assertFailed(relay(false, contentEvent("a"), "data: <html>\n\n", FINAL_CHUNK, DONE));
        }

        private void assertFailed(String out) {
            assertTrue(observer.failed);
            assertFalse(out.contains("[DONE]"), out);
            assertFalse(out.contains("crossed"), out);
            assertTrue(out.endsWith("data: broken\n\n"), out);
        }
    }

    private static final class Observer implements StreamObserver {
        private Optional<String> errorOnRelease = Optional.empty();
        private long completeTokens = -1;
        private boolean failed;

        @Override
        public CompletionStage<Optional<String>> onComplete(long completionTokens) {
            completeTokens = completionTokens;
            return CompletableFuture.supplyAsync(() -> errorOnRelease);
        }

        @Override
        public String onFailure(long completionTokens, String reason) {
            failed = true;
            return "broken";
        }

        @Override
        public void onCancelled(long completionTokens) {}
    }
}
