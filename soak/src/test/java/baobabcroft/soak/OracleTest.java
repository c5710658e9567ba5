package baobabcroft.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.standin.platform.EndpointObserver.Statement;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Each detector finds what it is for, and passes what is sound or excused. */
class OracleTest {
    private static final Statement NOTHING = new Statement(OptionalDouble.empty(), OptionalLong.empty(), false);
    private static final Statement LEAVING = new Statement(OptionalDouble.empty(), OptionalLong.empty(), true);

    private final List<Call> calls = new ArrayList<>();
    private final List<Arrival> arrivals = new ArrayList<>();
    private final List<Long> falls = new ArrayList<>();
    private final List<Fault> faults = new ArrayList<>();

    private Verdict verdict(Promise promise) {
        History history = new History(
                ImmutableList.copyOf(calls),
                ImmutableList.copyOf(arrivals),
                ImmutableList.copyOf(falls),
                ImmutableList.copyOf(faults),
                3,
                4);
        return Oracle.judge(history).stream()
                .filter(verdict -> verdict.promise() == promise)
                .findFirst()
                .orElseThrow();
    }

    private void assertBroken(Promise promise) {
        assertTrue(verdict(promise).isBroken());
    }

    private void assertHeld(Promise promise) {
        assertFalse(verdict(promise).isBroken(), () -> verdict(promise).broken().toString());
        assertTrue(verdict(promise).tried() > 0);
    }

    private void call(String id, Call.Route route, int instance, long sentMillis, int status) {
        calls.add(new Call(
                id, route, instance, sentMillis, sentMillis + 50, OptionalInt.of(status), Call.Outcome.ANSWERED));
    }

    private void callEndsAs(Call.Outcome outcome, long sentMillis) {
        calls.add(new Call("r", Call.Route.LOOKUP, 0, sentMillis, sentMillis + 5_500, OptionalInt.empty(), outcome));
    }

    private void arrival(String id, int instance, long atMillis, boolean ran, Statement statement) {
        arrivals.add(new Arrival(
                "e", 1, id, instance, atMillis, OptionalLong.of(atMillis + 1), ran, Optional.of(statement)));
    }

    private void fault(FaultKind kind, long atMillis, long forMillis, Integer... instances) {
        faults.add(new Fault(kind, atMillis, forMillis, ImmutableSet.copyOf(instances), ImmutableSet.of(0), 0.5));
    }

    @Nested
    class Once {
        @Test
        void findsOrderThatRanTwice() {
            call("r", Call.Route.ORDER, 0, 0, 200);
            arrival("r", 0, 10, true, NOTHING);
            arrival("r", 1, 20, true, NOTHING);

            assertBroken(Promise.ONCE);
        }

        @Test
        void passesLookupsThatRanTwiceAndOrdersThatRanOnce() {
            call("o", Call.Route.ORDER, 0, 0, 200);
            arrival("o", 0, 10, false, NOTHING);
            arrival("o", 0, 20, true, NOTHING);
            call("l", Call.Route.LOOKUP, 0, 0, 200);
            arrival("l", 0, 10, true, NOTHING);
            arrival("l", 0, 20, true, NOTHING);

            assertHeld(Promise.ONCE);
        }
    }

    @Nested
    class NotRun {
        @Test
        void findsRefusedRequestThatRan() {
            call("r", Call.Route.ORDER, 0, 0, 503);
            arrival("r", 0, 10, true, NOTHING);

            assertBroken(Promise.NOT_RUN);
        }

        @Test
        void passesErrorsThatSayNothing() {
            call("a", Call.Route.ORDER, 0, 0, 502);
            arrival("a", 0, 10, true, NOTHING);
            call("b", Call.Route.ORDER, 0, 0, 503);
            arrival("b", 0, 10, false, NOTHING);

            assertHeld(Promise.NOT_RUN);
        }
    }

    @Nested
    class WholeAnswer {
        @Test
        void findsSpoiltAnswer() {
            callEndsAs(Call.Outcome.SPOILT, 0);

            assertBroken(Promise.WHOLE_ANSWER);
        }

        @Test
        void passesLostConnections() {
            call("r", Call.Route.CHAT, 0, 0, 200);
            callEndsAs(Call.Outcome.CONNECTION_FAILED, 0);

            assertHeld(Promise.WHOLE_ANSWER);
        }
    }

    @Nested
    class InTime {
        @Test
        void findsLateCall() {
            callEndsAs(Call.Outcome.TIMED_OUT, 10_000);

            assertBroken(Promise.IN_TIME);
        }

        @Test
        void findsLateCallAtCutOffInstance() {
            fault(FaultKind.LINK_CUT, 9_000, 5_000, 0);
            callEndsAs(Call.Outcome.TIMED_OUT, 10_000);

            assertBroken(Promise.IN_TIME);
        }

        @Test
        void passesLateCallAtFrozenInstance() {
            fault(FaultKind.INSTANCE_FREEZE, 9_000, 5_000, 0);
            callEndsAs(Call.Outcome.TIMED_OUT, 10_000);

            assertHeld(Promise.IN_TIME);
        }
    }

    @Nested
    class Served {
        @Test
        void findsRefusalsInCalmTimes() {
            for (int i = 0; i < 30; i++) {
                call("r" + i, Call.Route.LOOKUP, 0, 20_000 + i, i < 28 ? 200 : 503);
            }

            assertBroken(Promise.SERVED);
        }

        @Test
        void passesRefusalsInAndAfterDisturbances() {
            fault(FaultKind.STORE_DOWN, 12_000, 2_000);
            for (int i = 0; i < 30; i++) {
                call("a" + i, Call.Route.LOOKUP, 0, 20_000 + i, 503);
                call("b" + i, Call.Route.LOOKUP, 0, 30_000 + i, 200);
            }

            assertHeld(Promise.SERVED);
        }
    }

    @Nested
    class Withdrawn {
        @Test
        void findsCallerThatIsServedAllTheSame() {
            fault(FaultKind.KEY_WITHDRAWN, 10_000, 9_000);
            call("r", Call.Route.LOOKUP, 0, 15_000, 200);

            assertBroken(Promise.WITHDRAWN);
        }

        @Test
        void passesCallerWhoIsServedBeforeInstancesCanKnow() {
            fault(FaultKind.KEY_WITHDRAWN, 10_000, 9_000);
            call("a", Call.Route.LOOKUP, 0, 13_000, 200);
            call("b", Call.Route.LOOKUP, 0, 15_000, 401);

            assertHeld(Promise.WITHDRAWN);
        }

        @Test
        void passesTimesWithoutStore() {
            fault(FaultKind.KEY_WITHDRAWN, 10_000, 9_000);
            fault(FaultKind.STORE_DOWN, 12_000, 3_000);
            call("r", Call.Route.LOOKUP, 0, 15_000, 200);

            assertFalse(verdict(Promise.WITHDRAWN).isBroken());
        }
    }

    @Nested
    class Leaves {
        private void requestAfterwards(int instance) {
            arrival("a", 0, 1_000, true, LEAVING);
            call("b", Call.Route.LOOKUP, instance, 6_000, 200);
            arrival("b", instance, 6_010, true, LEAVING);
        }

        @Test
        void findsNewRequestOfInstanceThatWasTold() {
            requestAfterwards(0);

            assertBroken(Promise.LEAVING);
        }

        @Test
        void passesRequestOfAnotherInstance() {
            requestAfterwards(1);

            assertHeld(Promise.LEAVING);
        }

        @Test
        void passesRequestOfInstanceThatStartedAgain() {
            fault(FaultKind.INSTANCE_KILL, 3_000, 1_000, 0);
            requestAfterwards(0);

            assertHeld(Promise.LEAVING);
        }
    }

    @Nested
    class Pauses {
        private void requestsInPause(int count) {
            arrival("p", 0, 1_000, false, new Statement(OptionalDouble.empty(), OptionalLong.of(3_000), false));
            for (int i = 0; i < count; i++) {
                arrival("r" + i, 0, 2_000 + i, true, NOTHING);
            }
        }

        @Test
        void findsThreeRequests() {
            requestsInPause(3);

            assertBroken(Promise.PAUSE);
        }

        @Test
        void passesTwo() {
            requestsInPause(2);

            assertHeld(Promise.PAUSE);
        }
    }

    @Nested
    class Limits {
        private void requests(double perSecond) {
            Statement limited = new Statement(OptionalDouble.of(2), OptionalLong.empty(), false);
            for (int i = 0; i < 20 * perSecond; i++) {
                arrival("r" + i, i % 3, (long) (1_000 * i / perSecond), true, limited);
            }
        }

        @Test
        void findsMoreThanAllowed() {
            requests(6);

            assertBroken(Promise.LIMIT);
        }

        @Test
        void passesOneAndAHalfTimesTheLimit() {
            requests(3);

            assertHeld(Promise.LIMIT);
        }

        @Test
        void passesInstancesThatStartedAgain() {
            fault(FaultKind.INSTANCE_KILL, 500, 1_000, 0, 1, 2);
            requests(6);

            assertFalse(verdict(Promise.LIMIT).isBroken());
        }
    }

    @Nested
    class Brittle {
        @Test
        void findsThirdFall() {
            fault(FaultKind.ENDPOINT_BRITTLE, 10_000, 9_000);
            falls.addAll(List.of(11_000L, 12_000L, 13_000L));

            assertBroken(Promise.BRITTLE);
        }

        @Test
        void passesTwoFalls() {
            fault(FaultKind.ENDPOINT_BRITTLE, 10_000, 9_000);
            falls.addAll(List.of(11_000L, 12_000L, 25_000L));

            assertHeld(Promise.BRITTLE);
        }
    }

    @Nested
    class Recovers {
        private void callsInCut(int servedOfForty) {
            fault(FaultKind.LINK_CUT, 10_000, 9_000, 0);
            for (int i = 0; i < 40; i++) {
                call("a" + i, Call.Route.LOOKUP, 0, 15_000 + i, i < servedOfForty ? 200 : 503);
                call("b" + i, Call.Route.LOOKUP, 1, 15_000 + i, 200);
            }
        }

        @Test
        void findsCallersWorseServed() {
            callsInCut(20);

            assertBroken(Promise.RECOVER);
        }

        @Test
        void passesCallersServedNearlyAsWell() {
            callsInCut(30);

            assertHeld(Promise.RECOVER);
        }

        @Test
        void passesCutsInWhichNoInstanceReachedTheEndpoints() {
            fault(FaultKind.INSTANCE_STOP, 14_000, 4_000, 1, 2);
            callsInCut(20);

            assertHeld(Promise.RECOVER);
        }
    }

    @Test
    void judgesEachPromiseOnce() {
        History empty =
                new History(ImmutableList.of(), ImmutableList.of(), ImmutableList.of(), ImmutableList.of(), 1, 1);

        assertEquals(
                List.of(Promise.values()),
                Oracle.judge(empty).stream().map(Verdict::promise).toList());
    }

    @Nested
    class Evacuated {
        private void arrivalAt(int endpoint, int instance, long atMillis) {
            arrivals.add(new Arrival(
                    "endpoint-" + endpoint,
                    1,
                    "r",
                    instance,
                    atMillis,
                    OptionalLong.of(atMillis + 1),
                    true,
                    Optional.of(NOTHING)));
        }

        @Test
        void findsRequestsInTheFailureDomain() {
            fault(FaultKind.EVACUATION, 1_000, 9_000);
            arrivalAt(3, 0, 6_500);

            assertBroken(Promise.EVACUATED);
        }

        @Test
        void passesOtherDomainsAndTimesAndDisturbedInstances() {
            fault(FaultKind.EVACUATION, 1_000, 9_000);
            fault(FaultKind.LINK_CUT, 3_000, 1_000, 2);
            arrivalAt(1, 0, 6_500);
            arrivalAt(0, 0, 5_900);
            arrivalAt(0, 0, 10_100);
            arrivalAt(0, 2, 6_500);

            assertHeld(Promise.EVACUATED);
        }
    }

    @Nested
    class Regions {
        private void lookupAt(int endpoint, String id, long sentMillis) {
            call(id, Call.Route.LOOKUP, 0, sentMillis, 200);
            arrivals.add(new Arrival(
                    "endpoint-" + endpoint,
                    1,
                    id,
                    1,
                    sentMillis + 10,
                    OptionalLong.of(sentMillis + 20),
                    true,
                    Optional.of(NOTHING)));
        }

        @Test
        void findsRequestsInOtherRegions() {
            fault(FaultKind.REGIONS_LIMITED, 1_000, 9_000);
            lookupAt(2, "r", 6_000);

            assertBroken(Promise.REGIONS);
        }

        @Test
        void passesAllowedRegionsAndEarlierRequests() {
            fault(FaultKind.REGIONS_LIMITED, 1_000, 9_000);
            lookupAt(1, "r-1", 6_000);
            lookupAt(2, "r-2", 4_000);

            assertHeld(Promise.REGIONS);
        }
    }
}
