package baobabcroft.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import baobabcroft.limit.FleetView;
import baobabcroft.relay.PauseQueue.Pause;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PauseQueueTest {
    private static final String SERVICE = "orders";
    private static final long AMPLE_MILLIS = 10_000;

    private final PauseQueue queue = PauseQueue.create(FleetView.alone(), () -> 0);

    private OptionalLong enter(Pause... pauses) {
        return queue.tryEnter(SERVICE, List.of(pauses), AMPLE_MILLIS);
    }

    @Nested
    class TryEnter {
        @Test
        void waitsForTheFirstPauseWithRoomAfterIt() {
            Pause[] pauses = {new Pause(1, 300), new Pause(2, 700)};

            assertEquals(OptionalLong.of(300), enter(pauses));
            assertEquals(OptionalLong.of(700), enter(pauses));
            assertEquals(OptionalLong.of(700), enter(pauses));
            assertEquals(OptionalLong.empty(), enter(pauses));
        }

        @Test
        void needsTime() {
            assertEquals(OptionalLong.empty(), queue.tryEnter(SERVICE, List.of(new Pause(1, 300)), 299));
            assertEquals(OptionalLong.of(300), queue.tryEnter(SERVICE, List.of(new Pause(1, 300)), 300));
        }

        @Test
        void needsAPause() {
            assertEquals(OptionalLong.empty(), enter());
        }

        @Test
        void sharesTheSlotsWithTheOtherInstances() {
            FleetView fleet = new FleetView("a", () -> ImmutableSet.of("a", "b", "c"));
            PauseQueue shared = PauseQueue.create(fleet, () -> 0);
            List<Pause> pauses = List.of(new Pause(6, 300));

            assertEquals(OptionalLong.of(300), shared.tryEnter(SERVICE, pauses, AMPLE_MILLIS));
            assertEquals(OptionalLong.of(300), shared.tryEnter(SERVICE, pauses, AMPLE_MILLIS));
            assertEquals(OptionalLong.empty(), shared.tryEnter(SERVICE, pauses, AMPLE_MILLIS));
        }

        @Test
        void spreadsTheReturnWithinTheTimeThatIsLeft() {
            PauseQueue spread = PauseQueue.create(FleetView.alone(), () -> 0.5);

            assertEquals(OptionalLong.of(550), spread.tryEnter(SERVICE, List.of(new Pause(9, 300)), AMPLE_MILLIS));
            assertEquals(OptionalLong.of(350), spread.tryEnter(SERVICE, List.of(new Pause(9, 300)), 400));
        }
    }

    @Nested
    class Leave {
        @Test
        void makesRoom() {
            Pause pause = new Pause(1, 300);
            enter(pause);

            queue.leave(SERVICE);

            assertEquals(OptionalLong.of(300), enter(pause));
        }
    }
}
