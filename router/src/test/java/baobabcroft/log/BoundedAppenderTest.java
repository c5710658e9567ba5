package baobabcroft.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.AppenderBase;
import com.google.common.base.Ticker;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class BoundedAppenderTest {
    private static final int QUEUE_LINES = 10;

    private final LoggerContext context = new LoggerContext();
    private final Logger logger = context.getLogger("test");
    private final CountDownLatch outputBlocked = new CountDownLatch(1);
    private final List<ILoggingEvent> written = new ArrayList<>();
    private long nowNanos;
    private final BoundedAppender appender = new BoundedAppender(new Ticker() {
        @Override
        public long read() {
            return nowNanos;
        }
    });

    /** Output that blocks until {@link #outputBlocked} is released. */
    private final AppenderBase<ILoggingEvent> output = new AppenderBase<>() {
        @Override
        protected void append(ILoggingEvent event) {
            try {
                outputBlocked.await();
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
            }
            written.add(event);
        }
    };

    private void start(int maxPerSecond) {
        context.setMDCAdapter(new LogbackMDCAdapter());
        output.setContext(context);
        output.start();
        appender.setContext(context);
        appender.setQueueSize(QUEUE_LINES);
        appender.setMaxPerSecond(maxPerSecond);
        appender.addAppender(output);
        appender.start();
        logger.setLevel(Level.INFO);
        logger.addAppender(appender);
    }

    /** Unblocks the output, waits until the queue is written, and returns the written lines. */
    private List<String> finish() {
        outputBlocked.countDown();
        appender.stop();
        return written.stream().map(ILoggingEvent::getFormattedMessage).toList();
    }

    @Nested
    class BlockedOutput {
        /** Guards against requests that hang because standard output blocks permanently. */
        @Test
        void neverBlocksCallersAndCountsDroppedLines() {
            start(Integer.MAX_VALUE);
            long before = BoundedAppender.droppedLines();
            for (int i = 0; i < 1_000; i++) {
                logger.info("BC7003 request finished request=r-{}", i);
            }
            long dropped = BoundedAppender.droppedLines() - before;

            // The writer thread takes at most one batch, which is as large as the queue.
            assertTrue(dropped >= 1_000 - 2 * QUEUE_LINES, "dropped: " + dropped);
            assertEquals(1_000, finish().size() + dropped);
        }

        @Test
        void reservesQueueCapacityForWarnings() {
            start(Integer.MAX_VALUE);
            for (int i = 0; i < 100; i++) {
                logger.info("BC7003 request finished request=r-{}", i);
            }
            logger.warn("BC3001 key-value service unavailable reason=silent");

            assertTrue(finish().contains("BC3001 key-value service unavailable reason=silent"));
        }
    }

    @Nested
    class FrequentEvents {
        @Test
        void areLimitedPerSecondAndSummarized() {
            outputBlocked.countDown();
            start(3);
            for (int i = 0; i < 5; i++) {
                logger.info("BC5013 endpoint listed endpoint=e-{}", i);
            }
            nowNanos += TimeUnit.SECONDS.toNanos(1);
            logger.info("BC2001 configuration applied number=1");

            assertEquals(
                    List.of(
                            "BC5013 endpoint listed endpoint=e-0",
                            "BC5013 endpoint listed endpoint=e-1",
                            "BC5013 endpoint listed endpoint=e-2",
                            "BC1008 log lines suppressed event=BC5013 lines=2",
                            "BC2001 configuration applied number=1"),
                    finish());
        }

        @Test
        void doNotUseUpTheLimitOfOtherEvents() {
            outputBlocked.countDown();
            start(1);
            logger.info("BC5013 endpoint listed endpoint=e-1");
            logger.info("BC5013 endpoint listed endpoint=e-2");
            logger.info("BC2001 configuration applied number=1");

            assertEquals(2, finish().size());
        }
    }
}
