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

    private static String word(String content) {
        return chunk("a", VERSION, content, "null");
    }

    private static final String LAST = chunk("a", VERSION, "", "\"stop\"");
    private static final String USAGE =
            "data: {\"id\":\"a\",\"model\":\"film-small@1\",\"choices\":[],\"usage\":{\"completion_tokens\":7}}\n\n";

    private String relay(boolean passUsage, String... parts) throws Exception {
        return Source.from(List.of(parts))
                .map(ByteString::fromString)
                .via(SseRelay.create(VERSION, 1, passUsage, observer))
                .runWith(Sink.fold(ByteString.emptyByteString(), ByteString::concat), system)
                .toCompletableFuture()
                .get(20, TimeUnit.SECONDS)
                .utf8String();
    }

    @Nested
    final class WholeAnswer {
        @Test
        void passesUnchanged() throws Exception {
            String whole = word("five") + word(" minutes") + LAST + DONE;

            assertEquals(whole, relay(false, whole));
        }

        @Test
        void passesUnchangedWhenCutAtAnyByte() throws Exception {
            String whole = word("a") + LAST + DONE;
            for (int cut = 1; cut < whole.length(); cut++) {
                assertEquals(whole, relay(false, whole.substring(0, cut), whole.substring(cut)));
            }
        }

        @Test
        void passesUnchangedWithWindowsLineEnds() throws Exception {
            String whole = (word("five") + LAST + DONE).replace("\n", "\r\n");

            assertEquals(whole, relay(false, whole));
        }

        @Test
        void isReleasedAtItsEndMarkThoughTheConnectionStaysOpen() throws Exception {
            String whole = word("five") + LAST + DONE;

            String out = Source.from(List.of(whole))
                    .map(ByteString::fromString)
                    .concat(Source.maybe())
                    .via(SseRelay.create(VERSION, 1, false, observer))
                    .runWith(Sink.fold(ByteString.emptyByteString(), ByteString::concat), system)
                    .toCompletableFuture()
                    .get(20, TimeUnit.SECONDS)
                    .utf8String();

            assertEquals(whole, out);
        }

        @Test
        void countsTokensByTheEnginesUsageAndHidesItUnlessWanted() throws Exception {
            String out = relay(false, word("a"), LAST, USAGE, DONE);

            assertEquals(7, observer.wholeTokens);
            assertFalse(out.contains("usage"));
        }

        @Test
        void showsUsageWhenWanted() throws Exception {
            assertTrue(relay(true, word("a"), LAST, USAGE, DONE).contains("usage"));
        }

        @Test
        void endsWithTheErrorWhenItsEndIsNotReleased() throws Exception {
            observer.release = Optional.of("{\"error\":{}}");

            String out = relay(false, word("a"), LAST, DONE);

            assertEquals(word("a") + "data: {\"error\":{}}\n\n", out);
        }
    }

    @Nested
    final class BrokenAnswer {
        @Test
        void neverEndsAsWholeWhenTheEndMarkIsMissing() throws Exception {
            assertBroken(relay(false, word("a"), LAST));
        }

        @Test
        void neverEndsAsWholeWhenAChoiceIsUnfinished() throws Exception {
            assertBroken(relay(false, word("a"), DONE));
        }

        @Test
        void stopsAtAnEventOfAnotherAnswer() throws Exception {
            assertBroken(relay(false, word("a"), chunk("b", VERSION, "crossed", "null"), LAST, DONE));
        }

        @Test
        void stopsAtAnEventOfAnotherVersion() throws Exception {
            assertBroken(relay(false, chunk("a", "film-small@2", "x", "null"), LAST, DONE));
        }

        @Test
        void stopsAtGarbage() throws Exception {
            assertBroken(relay(false, word("a"), "data: <html>\n\n", LAST, DONE));
        }

        private void assertBroken(String out) {
            assertTrue(observer.broken);
            assertFalse(out.contains("[DONE]"), out);
            assertFalse(out.contains("crossed"), out);
            assertTrue(out.endsWith("data: broken\n\n"), out);
        }
    }

    private static final class Observer implements StreamObserver {
        private Optional<String> release = Optional.empty();
        private long wholeTokens = -1;
        private boolean broken;

        @Override
        public CompletionStage<Optional<String>> onWhole(long completionTokens) {
            wholeTokens = completionTokens;
            return CompletableFuture.supplyAsync(() -> release);
        }

        @Override
        public String onBroken(long completionTokens, String reason) {
            broken = true;
            return "broken";
        }

        @Override
        public void onCallerLeft(long completionTokens) {}
    }
}
