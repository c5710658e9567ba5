package baobabcroft.relay;

import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.relay.RelayFixture.Caller;
import baobabcroft.relay.RelayFixture.SentRequest;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The pattern "instances without links": some instances of a fleet without a network lose all their connections to
 * endpoints for some seconds, while their callers and the other instances still reach them.
 */
class CutOffInstancesFleetTest {
    /** Plays a case; more by hand, as -Dbaobabcroft.test.seeds=100. */
    private static final long SEEDS = Long.getLong("baobabcroft.test.seeds", 1);

    private static final long STEP_MILLIS = 10;
    private static final long CUT_FROM_MILLIS = 2_000;
    private static final long CUT_UNTIL_MILLIS = 14_000;
    private static final long DURATION_MILLIS = 20_000;
    private static final long ANSWER_MILLIS = 86;
    private static final long CONNECT_TIMEOUT_MILLIS = 600;

    /** The contract counts first tries from this long after the beginning of the cut, in milliseconds. */
    private static final long CONTACT_MILLIS = 4_000;

    private static final double MIN_SERVED_RATIO = 2.0 / 3;
    private static final int ALLOWED_FAILURES = 10;
    private static final double ALLOWED_FAILURE_SHARE = 1.0 / 50;

    /** How connections to endpoints fail while the links are cut. */
    enum Cut {
        REFUSED,
        SILENT
    }

    /** A request at an instance, with its caller. */
    private record FirstTry(Caller caller, boolean atCutInstance, long atMillis) {}

    /** One play of a fleet. */
    private static final class Play {
        private final UniformRandomProvider random;
        private final ForwardingFleet fleet;
        private final List<RelayFixture> instances;
        private final int[] seen;
        private final int cutInstances;
        private final double requestsPerSecond;
        private final List<FirstTry> tries = new ArrayList<>();
        private long now;

        private Play(long seed, int instanceCount, int cutInstances, Cut cut, double requestsPerSecond) {
            this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
            this.cutInstances = cutInstances;
            this.requestsPerSecond = requestsPerSecond;
            this.seen = new int[instanceCount];
            this.fleet = ForwardingFleet.create(instanceCount, random);
            this.instances = fleet.members.stream().map(member -> member.relay).toList();
            if (cut == Cut.SILENT) {
                instances.forEach(instance -> {
                    instance.connectFailureMillis = CONNECT_TIMEOUT_MILLIS;
                    instance.connectFailure = SendFailure.CONNECT_TIMEOUT;
                });
            }
        }

        private Play run() {
            for (now = 0; now < DURATION_MILLIS; now += STEP_MILLIS) {
                boolean isCut = now >= CUT_FROM_MILLIS && now < CUT_UNTIL_MILLIS;
                instances.subList(0, cutInstances).forEach(instance -> instance.cutOff = isCut);
                if (random.nextDouble() < requestsPerSecond * STEP_MILLIS / 1_000) {
                    arrive(random.nextInt(instances.size()));
                }
                for (int i = 0; i < instances.size(); i++) {
                    answerDue(i);
                }
                fleet.advance(STEP_MILLIS);
            }
            return this;
        }

        private void arrive(int instance) {
            Caller caller = new Caller();
            tries.add(new FirstTry(caller, instance < cutInstances, now));
            String path = random.nextBoolean() ? "/order/1" : "/lookup/1";
            instances.get(instance).start(path, caller);
        }

        /** Endpoints answer in the order of the requests. */
        private void answerDue(int instance) {
            List<SentRequest> sent = instances.get(instance).sentRequests;
            while (seen[instance] < sent.size() && sent.get(seen[instance]).sentAtMillis + ANSWER_MILLIS <= now) {
                sent.get(seen[instance]).answer(200, "done");
                seen[instance]++;
            }
        }

        /** Returns the tries at cut instances, or at the others, which the contract counts. */
        private List<FirstTry> counted(boolean atCutInstances) {
            return tries.stream()
                    .filter(attempt -> attempt.atCutInstance() == atCutInstances)
                    .filter(attempt -> attempt.atMillis() >= CUT_FROM_MILLIS + CONTACT_MILLIS)
                    .filter(attempt -> attempt.atMillis() < CUT_UNTIL_MILLIS)
                    .toList();
        }

        private static long served(List<FirstTry> tries) {
            return tries.stream()
                    .filter(attempt -> attempt.caller().status == 200)
                    .count();
        }
    }

    /** Guards against RECOVER: callers of instances without links are refused, though others could serve them. */
    @ParameterizedTest(name = "{1} of {0} instances, connections {2}, {3} requests/s")
    @CsvSource({
        "9, 6, REFUSED, 30",
        "9, 6, SILENT, 30",
        "9, 3, REFUSED, 30",
        "82, 14, SILENT, 80",
        "82, 60, REFUSED, 80",
        "300, 100, SILENT, 90"
    })
    void callersOfInstancesThatAreCutOffAreServed(int instances, int cutInstances, Cut cut, double requestsPerSecond) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            assertServedAlike(new Play(seed, instances, cutInstances, cut, requestsPerSecond).run());
        }
    }

    private static void assertServedAlike(Play play) {
        List<FirstTry> cutOff = play.counted(true);
        List<FirstTry> others = play.counted(false);
        long failed = cutOff.size() - Play.served(cutOff);
        boolean servedAlike =
                Play.served(cutOff) * others.size() >= MIN_SERVED_RATIO * Play.served(others) * cutOff.size();
        boolean fewFailed = failed <= ALLOWED_FAILURES + ALLOWED_FAILURE_SHARE * (cutOff.size() + others.size());
        assertTrue(
                servedAlike || fewFailed,
                Play.served(cutOff) + " of " + cutOff.size() + " served at instances that are cut off, "
                        + Play.served(others) + " of " + others.size() + " at the others");
    }
}
