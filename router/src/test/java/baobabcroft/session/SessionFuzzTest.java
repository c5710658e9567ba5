package baobabcroft.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.external.KeyValueStore;
import baobabcroft.fake.FakeCluster;
import baobabcroft.fake.FakeCluster.Instance;
import baobabcroft.fake.FaultInjection;
import baobabcroft.fake.UnconditionalWriteStore;
import baobabcroft.rules.VersionId;
import baobabcroft.slot.SlotLog;
import baobabcroft.slot.SlotLogContext;
import baobabcroft.slot.SlotLogSettings;
import com.codahale.metrics.MetricRegistry;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Shrinkable;
import net.jqwik.api.Tuple;

/** Random schedules of one session's requests and of faults: whoever learns its version learns the same one. */
class SessionFuzzTest {
    private static final int INSTANCES = 3;
    private static final int MUTANT_TRIES = 500;

    /** A request that would choose a version, or a disturbance. */
    record Step(int place, int version, Optional<FaultInjection> disturbance) {}

    @Provide
    static Arbitrary<List<Step>> schedules() {
        Arbitrary<Step> request = Combinators.combine(
                        Arbitraries.integers().between(0, INSTANCES - 1),
                        Arbitraries.integers().between(1, 3))
                .as((place, version) -> new Step(place, version, Optional.empty()));
        Arbitrary<Step> disturb =
                FaultInjection.arbitrary(INSTANCES).map(disturbance -> new Step(0, 0, Optional.of(disturbance)));
        return Arbitraries.frequencyOf(Tuple.of(1, request), Tuple.of(2, disturb))
                .list()
                .ofMinSize(4)
                .ofMaxSize(60);
    }

    @Property(tries = 200, seed = "20261204")
    void aPinNeverChanges(@ForAll("schedules") List<Step> steps) {
        assertEquals(1, versionsLearned(steps, false).size());
    }

    @Example
    void theOracleNoticesBlindWrites() {
        assertTrue(schedules().generator(1_000).stream(new Random(1))
                .map(Shrinkable::value)
                .limit(MUTANT_TRIES)
                .anyMatch(steps -> versionsLearned(steps, true).size() > 1));
    }

    private static Set<VersionId> versionsLearned(List<Step> steps, boolean writesBlindly) {
        SplittableRandom random = new SplittableRandom(5);
        FakeCluster<SessionService> machines =
                new FakeCluster<>(INSTANCES, (all, machine) -> start(all, machine, random, writesBlindly));
        Set<VersionId> learned = new HashSet<>();
        for (Step step : steps) {
            step.disturbance().ifPresent(machines::inject);
            if (step.disturbance().isEmpty()) {
                request(machines.instance(step.place()), step.version(), learned);
            }
        }
        machines.heal();
        machines.instances().forEach(machine -> request(machine, 9, learned));
        machines.time().advance(5_000);
        return learned;
    }

    private static void request(Instance<SessionService> machine, int version, Set<VersionId> learned) {
        VersionId choice = new VersionId("film", Integer.toString(version));
        machine.process().run(() -> machine.service()
                .pin("optika", "s", "film", () -> choice, false)
                .thenAccept(result -> {
                    if (result instanceof PinResult.Pinned pinned) {
                        learned.add(pinned.version());
                    }
                }));
    }

    private static SessionService start(
            FakeCluster<SessionService> all,
            Instance<SessionService> machine,
            SplittableRandom random,
            boolean writesBlindly) {
        KeyValueStore view =
                writesBlindly ? new UnconditionalWriteStore(all.store(), machine.client()) : machine.client();
        SlotLogContext context = new SlotLogContext(
                view,
                machine.process().scheduler(),
                Runnable::run,
                all.time().ticker(),
                all.time().wallClock(),
                random::nextLong,
                new MetricRegistry());
        SlotLogSettings settings = new SlotLogSettings(1, 5, 1_000, 64, 300, 10, 1_000);
        return SessionService.create(
                SlotLog.create(context, settings),
                SessionSettings.defaults(),
                all.time().wallClock());
    }
}
