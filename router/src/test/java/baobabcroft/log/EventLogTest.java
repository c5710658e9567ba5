package baobabcroft.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

final class EventLogTest {
    private final ListAppender<ILoggingEvent> appender = new ListAppender<>();
    private final Logger logger = (Logger) LoggerFactory.getLogger(EventLogTest.class);

    @BeforeEach
    void attach() {
        logger.setAdditive(false);
        logger.addAppender(appender);
        appender.start();
    }

    @AfterEach
    void detach() {
        logger.detachAppender(appender);
        logger.setAdditive(true);
    }

    @Nested
    final class Line {
        @Test
        void showsNumberMessageAndValues() {
            EventLog.of(EventLogTest.class).log(LogEvent.PEER_REJECTED, "i-2", "connection reset");
            ILoggingEvent logged = appender.list.get(0);
            assertEquals("BC4003 peer refused peer=i-2 reason=\"connection reset\"", logged.getFormattedMessage());
            assertEquals(Level.WARN, logged.getLevel());
        }

        @Test
        void staysOneLineWhateverTheValue() {
            EventLog.of(EventLogTest.class).log(LogEvent.STORE_UNAVAILABLE, "a\n2026 ERROR \"forged\" {}");
            assertEquals(
                    "BC3001 key-value service unavailable reason=\"a\\n2026 ERROR \\\"forged\\\" {}\"",
                    appender.list.get(0).getFormattedMessage());
        }

        @Test
        void marksAValueThatIsMissing() {
            EventLog.of(EventLogTest.class).log(LogEvent.ENDPOINT_RECOVERED);
            assertEquals(
                    "BC5002 endpoint back in service endpoint=(missing)",
                    appender.list.get(0).getFormattedMessage());
        }
    }

    @Nested
    final class Catalogue {
        @Test
        void givesEachEventANumberOfItsOwn() {
            long distinct = Arrays.stream(LogEvent.values())
                    .mapToInt(LogEvent::number)
                    .distinct()
                    .count();
            assertEquals(LogEvent.values().length, distinct);
        }

        @Test
        void isTheTableOfTheDocumentation() throws IOException {
            String table = Arrays.stream(LogEvent.values())
                    .map(event -> "| %s | %s | %s | %s |\n"
                            .formatted(event.code(), event.level(), event.message(), String.join(", ", event.keys())))
                    .collect(Collectors.joining());
            String page = Files.readString(Path.of("..", "docs", "LOG-EVENTS.md"));
            assertTrue(page.contains("|---|---|---|---|\n" + table), "docs/LOG-EVENTS.md should hold:\n" + table);
        }
    }
}
