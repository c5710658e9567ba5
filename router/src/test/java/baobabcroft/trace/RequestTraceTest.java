package baobabcroft.trace;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class RequestTraceTest {
    @TempDir
    Path directory;

    private static String json(long epochMillis, String message) {
        return "{\"timestamp\":" + epochMillis + ",\"level\":\"INFO\",\"loggerName\":\"x\",\"message\":\""
                + message.replace("\\", "\\\\").replace("\"", "\\\"") + "\",\"throwable\":null}";
    }

    private Path file(String name, String... lines) throws IOException {
        return Files.write(directory.resolve(name), List.of(lines));
    }

    private LogFiles twoInstances() throws IOException {
        Path first = file(
                "a.log",
                json(1_000, "BC1001 instance started instance=north-1 callers=c admin=a peers=p"),
                json(2_000, "BC2001 configuration applied number=7 changeId=\"\" author=operators source=store"),
                json(4_000, "BC3001 key-value service unavailable reason=\"no reply\""),
                json(5_000, "BC7001 request sent request=r-9 endpoint=e-1 version=v1 model=small attempt=1"),
                json(5_400, "BC7002 send failed request=r-9 endpoint=e-1 reason=connection_lost"),
                json(5_401, "BC7001 request sent request=r-9 endpoint=e-2 version=v1 model=small attempt=2"),
                json(
                        5_900,
                        "BC7003 request finished request=r-9 route=chat account=kamera outcome=pool_exhausted"
                                + " stopped=attempts_used status=502 execution=MAY_HAVE_RUN sends=2"
                                + " elapsedMillis=900 configVersion=7"));
        Path second = file(
                "b.log",
                json(1_000, "BC1001 instance started instance=south-1 callers=c admin=a peers=p"),
                json(5_350, "BC5012 endpoint crashed with requests in flight endpoint=e-1#17 digests=1"),
                json(5_360, "BC5012 endpoint crashed with requests in flight endpoint=e-7#17 digests=1"));
        return LogFiles.read(List.of(first, second));
    }

    @Nested
    class Joining {
        @Test
        void includesTheStateOfTheInstanceWithItsAge() throws IOException {
            RequestTrace trace = RequestTrace.of("r-9", twoInstances().lines()).orElseThrow();

            assertEquals(4, trace.lines().size());
            assertEquals(
                    ImmutableList.of(
                            new InstanceState("north-1", "configuration", "7", 3_000),
                            new InstanceState("north-1", "store", "key-value service unavailable", 1_000)),
                    trace.beliefs());
        }

        @Test
        void findsEventsOfOtherInstancesOnItsEndpoints() throws IOException {
            RequestTrace trace = RequestTrace.of("r-9", twoInstances().lines()).orElseThrow();

            List<LogLine> crashes = trace.nearby().stream()
                    .filter(line -> line.code().equals("BC5012"))
                    .toList();
            assertEquals(
                    List.of("south-1"), crashes.stream().map(LogLine::instance).toList());
        }

        @Test
        void describesTheCause() throws IOException {
            RequestTrace trace = RequestTrace.of("r-9", twoInstances().lines()).orElseThrow();

            assertEquals(
                    "pool_exhausted (MAY_HAVE_RUN) after 900 ms and 2 sends; not sent again: attempts_used:"
                            + " to e-1, connection_lost, to e-2",
                    trace.cause());
        }

        @Test
        void findsRequestsOfAnAccountInATimeInterval() throws IOException {
            LogFiles log = twoInstances();

            assertEquals(List.of("r-9"), RequestTrace.requestsOf("kamera", 5_000, 6_000, log.lines()));
            assertEquals(List.of(), RequestTrace.requestsOf("kamera", 6_000, 7_000, log.lines()));
        }

        @Test
        void isEmptyForAnUnknownRequest() throws IOException {
            assertEquals(Optional.empty(), RequestTrace.of("r-1", twoInstances().lines()));
        }
    }

    @Nested
    class Reading {
        @Test
        void takesTheInstanceFromACollectorPrefix() throws IOException {
            Path collected = file(
                    "all.log",
                    "  12.301 front-1 " + json(5_000, "BC1003 drain started openRequests=1"),
                    "[front-2]: " + json(5_001, "BC1003 drain started openRequests=2"));

            assertEquals(
                    List.of("front-1", "front-2"),
                    LogFiles.read(List.of(collected)).lines().stream()
                            .map(LogLine::instance)
                            .toList());
        }

        @Test
        void countsMalformedLinesAndContinues() throws IOException {
            Path damaged = file(
                    "a.log",
                    "{\"timestamp\":5,\"message\":\"BC7003 request fin",
                    json(6, "no event of ours"),
                    json(7, "BC1003 drain started openRequests=1"));

            LogFiles log = LogFiles.read(List.of(damaged));

            assertEquals(1, log.malformedLines());
            assertEquals(1, log.lines().size());
        }

        @Test
        void unquotesValues() throws IOException {
            Path quoted = file("a.log", json(5, "BC3001 key-value service unavailable reason=\"a \\\"b\\\" c=d\""));

            assertEquals(
                    Optional.of("a \"b\" c=d"),
                    LogFiles.read(List.of(quoted)).lines().get(0).value("reason"));
        }

        @Test
        void datesDelayedLinesAtTheTimeOfTheEvent() throws IOException {
            Path held = file("a.log", json(5_000, "BC7001 request sent request=r-9 endpoint=e-1 agoMillis=900"));

            assertEquals(4_100, LogFiles.read(List.of(held)).lines().get(0).epochMillis());
        }

        @Test
        void throwsForAMissingFile() {
            assertThrows(NoSuchFileException.class, () -> LogFiles.read(List.of(directory.resolve("none.log"))));
        }
    }

    @Nested
    class Report {
        @Test
        void marksTheEventsOfTheRequestAmongNearbyEvents() throws IOException {
            String text = RequestTraceReport.of(
                    RequestTrace.of("r-9", twoInstances().lines()).orElseThrow());

            assertTrue(text.contains("> 1970-01-01T00:00:05.400Z north-1"), text);
            assertTrue(text.contains("  1970-01-01T00:00:05.350Z south-1"), text);
        }
    }
}
