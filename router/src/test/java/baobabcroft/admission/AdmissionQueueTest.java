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
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

final class AdmissionQueueTest {
    private static final int CAPACITY = 2;
    private static final double SERVICE_MILLIS = 1_000;

    private final VirtualTime time = new VirtualTime();
    private final List<String> events = new ArrayList<>();
    private int running;
    private final AdmissionQueue queue = AdmissionQueue.create(
            new AdmissionSettings(4, 0, 10_000),
            () -> PoolLoad.withoutPauses(running, running, CAPACITY, SERVICE_MILLIS),
            time.ticker());

    private AdmissionDecision offer(String account, int priority, long remainingMillis) {
        return queue.offer(
                new AdmissionRequest(account, priority, remainingMillis, SERVICE_MILLIS), recording(account));
    }

    private static AdmissionRequest request(String account, long remainingMillis) {
        return new AdmissionRequest(account, 0, remainingMillis, SERVICE_MILLIS);
    }

    private PendingRequest recording(String account) {
        return new PendingRequest() {
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
    void refusesRequestsThatCannotStartInTime() {
        fill();
        assertInstanceOf(Queued.class, offer("big", 0, 1_500));
        Refused refused = assertInstanceOf(Refused.class, offer("big", 0, 1_500));
        assertEquals(new Refused(ErrorCode.DEADLINE_UNREACHABLE, 500), refused);
    }

    @Test
    void higherPrioritiesStartFirst() {
        fill();
        offer("bulk", 0, 9_000);
        offer("urgent", 1, 9_000);
        end(2);
        assertEquals(List.of("urgent started", "bulk started"), events);
    }

    @Test
    void largeAccountDoesNotStarveSmallOne() {
        fill();
        offer("big", 0, 9_000);
        offer("big", 0, 9_000);
        offer("small", 0, 9_000);
        end(1);
        assertEquals(List.of("small started"), events);
    }

    @Test
    void fullQueueShedsLowestPriorityFirst() {
        fill();
        for (int i = 0; i < 4; i++) {
            offer("big", 0, 9_000);
        }
        assertEquals(ErrorCode.OVERLOADED, ((Refused) offer("big", 0, 9_000)).code());
        assertInstanceOf(Queued.class, offer("urgent", 1, 9_000));
        assertEquals(List.of("big overloaded"), events);
    }

    @Test
    void refusesWaitingRequestsThatCanNoLongerMeetTheirDeadline() {
        fill();
        offer("small", 0, 1_600);
        time.advance(700);
        queue.dispatchWaiting();
        assertEquals(List.of("small deadline_unreachable"), events);
    }

    @Test
    void refusesWaitingRequestsAtOnceIfAPauseLeavesThemNoTime() {
        OptionalLong[] pause = {OptionalLong.of(500)};
        AdmissionQueue pausing = AdmissionQueue.create(
                new AdmissionSettings(4, 0, 10_000),
                () -> new PoolLoad(0, 1, 0, SERVICE_MILLIS, pause[0]),
                time.ticker());
        assertInstanceOf(Queued.class, pausing.offer(request("ample", 9_000), recording("ample")));
        assertInstanceOf(Queued.class, pausing.offer(request("short", 3_000), recording("short")));
        assertEquals(
                new Refused(ErrorCode.POOL_EXHAUSTED, 500),
                pausing.offer(request("shorter", 1_400), recording("shorter")));
        pause[0] = OptionalLong.of(4_000);
        pausing.dispatchWaiting();

        assertEquals(List.of("short pool_exhausted"), events);
    }

    @Test
    void closedTicketIsNotStarted() {
        fill();
        ((Queued) offer("cancelled", 0, 9_000)).ticket().close();
        end(1);
        assertEquals(List.of(), events);
        assertInstanceOf(Started.class, offer("next", 0, 9_000));
    }

    @Test
    void reservesCapacityForHigherPrioritiesWithRecentRequests() {
        AdmissionQueue reserving = AdmissionQueue.create(
                new AdmissionSettings(4, 0.5, 10_000),
                () -> PoolLoad.withoutPauses(running, running, CAPACITY, SERVICE_MILLIS),
                time.ticker());
        PendingRequest pending = new PendingRequest() {
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
        reserving.offer(new AdmissionRequest("urgent", 1, 9_000, 1_000), pending);
        AdmissionRequest bulk = new AdmissionRequest("bulk", 0, 9_000, 1_000);
        assertInstanceOf(Queued.class, reserving.offer(bulk, pending));
        time.advance(10_000);
        reserving.dispatchWaiting();
        assertEquals(0, reserving.waiting());
    }
}
