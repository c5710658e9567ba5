package baobabcroft.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import baobabcroft.admission.AdmissionDecision.Queued;
import baobabcroft.admission.AdmissionDecision.Refused;
import baobabcroft.admission.AdmissionDecision.Started;
import baobabcroft.balance.PoolLoad;
import baobabcroft.common.ErrorCode;
import baobabcroft.fake.VirtualTime;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class AdmissionQueueTest {
    private static final int CAPACITY = 2;
    private static final double SERVICE_MILLIS = 1_000;

    private final VirtualTime time = new VirtualTime();
    private final List<String> events = new ArrayList<>();
    private int running;
    private final AdmissionQueue queue = AdmissionQueue.create(
            new AdmissionSettings(4, 0, 10_000),
            () -> new PoolLoad(running, running, CAPACITY, SERVICE_MILLIS),
            time.ticker());

    private AdmissionDecision offer(String account, int priority, long remainingMillis) {
        PendingRequest attempt = new PendingRequest() {
            @Override
            public boolean tryStart() {
                running++;
                events.add(account + " started");
                return true;
            }

            @Override
            public void refuse(Refused refused) {
                events.add(account + " " + refused.code().code());
            }
        };
        return queue.offer(new AdmissionRequest(account, priority, remainingMillis, SERVICE_MILLIS), attempt);
    }

    private void fill() {
        offer("big", 0, 9_000);
        offer("big", 0, 9_000);
        events.clear();
    }

    private void end(int requests) {
        running -= requests;
        queue.dispatchWaiting();
    }

    @Test
    void refusesAtOnceWhatCannotStartInTime() {
        fill();
        assertInstanceOf(Queued.class, offer("big", 0, 1_500));
        Refused refused = assertInstanceOf(Refused.class, offer("big", 0, 1_500));
        assertEquals(new Refused(ErrorCode.DEADLINE_UNREACHABLE, 500), refused);
    }

    @Test
    void greaterClassesGoFirst() {
        fill();
        offer("patient", 0, 9_000);
        offer("idle-crew", 1, 9_000);
        end(2);
        assertEquals(List.of("idle-crew started", "patient started"), events);
    }

    @Test
    void aLargeAccountCannotStarveASmallOne() {
        fill();
        offer("big", 0, 9_000);
        offer("big", 0, 9_000);
        offer("small", 0, 9_000);
        end(1);
        assertEquals(List.of("small started"), events);
    }

    @Test
    void aFullQueueShedsTheSmallestClassFirst() {
        fill();
        for (int i = 0; i < 4; i++) {
            offer("big", 0, 9_000);
        }
        assertEquals(ErrorCode.OVERLOADED, ((Refused) offer("big", 0, 9_000)).code());
        assertInstanceOf(Queued.class, offer("idle-crew", 1, 9_000));
        assertEquals(List.of("big overloaded"), events);
    }

    @Test
    void waitingRequestsAreRefusedOnceTheyAreTooLate() {
        fill();
        offer("small", 0, 1_600);
        time.advance(700);
        queue.dispatchWaiting();
        assertEquals(List.of("small deadline_unreachable"), events);
    }

    @Test
    void aClosedTicketIsNotStarted() {
        fill();
        ((Queued) offer("gone", 0, 9_000)).ticket().close();
        end(1);
        assertEquals(List.of(), events);
        assertInstanceOf(Started.class, offer("next", 0, 9_000));
    }

    @Test
    void aClassLeavesRoomForGreaterOnesSeenLately() {
        AdmissionQueue reserving = AdmissionQueue.create(
                new AdmissionSettings(4, 0.5, 10_000),
                () -> new PoolLoad(running, running, CAPACITY, SERVICE_MILLIS),
                time.ticker());
        PendingRequest attempt = new PendingRequest() {
            @Override
            public boolean tryStart() {
                running++;
                return true;
            }

            @Override
            public void refuse(Refused refused) {
                running--;
            }
        };
        reserving.offer(new AdmissionRequest("crew", 1, 9_000, 1_000), attempt);
        AdmissionRequest patient = new AdmissionRequest("patient", 0, 9_000, 1_000);
        assertInstanceOf(Queued.class, reserving.offer(patient, attempt));
        time.advance(10_000);
        reserving.dispatchWaiting();
        assertEquals(0, reserving.waiting());
    }
}
