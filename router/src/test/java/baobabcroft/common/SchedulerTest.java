package baobabcroft.common;

import static org.junit.jupiter.api.Assertions.assertEquals;

import baobabcroft.fake.VirtualTime;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SchedulerTest {
    private static final long PERIOD_MILLIS = 75;

    private final VirtualTime time = new VirtualTime();
    private final List<Long> runsAtMillis = new ArrayList<>();

    @Nested
    class Aligned {
        private final Scheduler aligned = Scheduler.aligned(time.scheduler(), time::nowMillis, PERIOD_MILLIS);

        @Test
        void runsTasksTogetherAndNeverEarly() {
            aligned.schedule(10, () -> runsAtMillis.add(time.nowMillis()));
            time.advance(20);
            aligned.schedule(50, () -> runsAtMillis.add(time.nowMillis()));
            aligned.schedule(56, () -> runsAtMillis.add(time.nowMillis()));
            time.advance(200);

            assertEquals(List.of(75L, 75L, 150L), runsAtMillis);
        }

        @Test
        void repeatsAtMultiplesOfThePeriod() {
            time.advance(33);
            repeat();
            time.advance(400);

            assertEquals(List.of(150L, 225L, 300L, 375L), runsAtMillis);
        }

        private void repeat() {
            aligned.schedule(PERIOD_MILLIS, () -> {
                runsAtMillis.add(time.nowMillis());
                repeat();
            });
        }
    }
}
