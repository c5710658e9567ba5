package baobabcroft.instance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.common.Execution;
import baobabcroft.directory.EndpointEntry;
import baobabcroft.metrics.RouterMetrics;
import baobabcroft.relay.AttemptInfo;
import baobabcroft.relay.Ineligibility;
import baobabcroft.relay.RelaySummary;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import com.google.common.collect.ImmutableMultiset;
import com.google.common.net.HostAndPort;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

class RelayRecorderTest {
    private static final EndpointEntry ENDPOINT =
            new EndpointEntry("e-1", "engines", HostAndPort.fromParts("127.0.0.1", 1), "here", "v1", 6, false, 1);

    private final RouterMetrics metrics = RouterMetrics.create();
    private final RelayRecorder recorder = new RelayRecorder(metrics, () -> 120, () -> 25);
    private final ListAppender<ILoggingEvent> appender = new ListAppender<>();
    private final Logger logger = (Logger) LoggerFactory.getLogger(RelayRecorder.class);

    @BeforeEach
    void attach() {
        logger.addAppender(appender);
        appender.start();
    }

    @AfterEach
    void detach() {
        logger.detachAppender(appender);
    }

    private void serve(String request, String outcome, Optional<String> stopReason, int sends) {
        for (int attempt = 1; attempt <= sends; attempt++) {
            recorder.onAttemptStarted(
                    request, new AttemptInfo(ENDPOINT, Optional.of("small"), attempt, 300, 40, OptionalLong.empty()));
        }
        recorder.onFinished(new RelaySummary(
                request,
                Optional.of("chat"),
                Optional.of("kamera"),
                outcome,
                stopReason,
                200,
                Execution.RAN,
                sends,
                100,
                7));
    }

    private List<String> lines() {
        return appender.list.stream().map(ILoggingEvent::getFormattedMessage).toList();
    }

    @Test
    void logsRoutingInputsOfFailedRequest() {
        serve("r-1", "stream_lost", Optional.of("budget"), 1);

        assertTrue(
                lines().get(0)
                        .startsWith("BC7001 request sent request=r-1 endpoint=e-1 version=v1 model=small attempt=1"
                                + " expectedMillis=300 waitMillis=40 resumeAfter=none listAgeMillis=120"
                                + " loadAgeMillis=25 agoMillis="),
                lines().toString());
        assertTrue(lines().get(1).contains("outcome=stream_lost stopped=budget"), lines().toString());
    }

    /** Guards against refusals of which operators cannot see whether regions or an evacuation cause them. */
    @Test
    void countsAndLogsWhyThereIsNoEndpoint() {
        recorder.onNoEndpoint(
                "r-1",
                ImmutableMultiset.of(
                        Ineligibility.REGION_NOT_ALLOWED, Ineligibility.REGION_NOT_ALLOWED, Ineligibility.EVACUATED));
        serve("r-1", "pool_exhausted", Optional.of("no_endpoint"), 0);

        assertTrue(
                lines().get(0)
                        .startsWith("BC7005 no endpoint for the request request=r-1"
                                + " reasons=region_not_allowed:2,evacuated:1 "),
                lines().toString());
        assertEquals(
                1, metrics.counter("endpoints.ineligible.region_not_allowed").getCount());
        assertEquals(1, metrics.counter("endpoints.ineligible.evacuated").getCount());
    }

    @Test
    void logsSampleOfSuccessfulRequests() {
        for (int i = 0; i < 100; i++) {
            serve("r-" + i, "answered", Optional.empty(), 1);
        }

        assertEquals(
                2, lines().stream().filter(line -> line.startsWith("BC7003")).count());
    }

    @Test
    void countsReasonThatStoppedRetries() {
        serve("r-1", "endpoint_failed", Optional.of("attempts_used"), 2);

        assertEquals(1, metrics.counter("retry_stopped.attempts_used").getCount());
        assertEquals(1, metrics.counter("relay.repeated_sends").getCount());
    }
}
