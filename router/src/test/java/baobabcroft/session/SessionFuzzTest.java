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

/** Checks on random schedules of requests and faults that all instances see the same version of a session. */
class SessionFuzzTest {
    private static final int INSTANCES = 3;
    private static final int MAX_MUTANT_SCHEDULES = 500;

    /** A request to an instance, with the version that it would choose, or a disturbance. */
    record Step(int instanceIndex, int version, Optional<FaultInjection> disturbance) {}

    @Provide
    static Arbitrary<List<Step>> schedules() {
        Arbitrary<Step> request = Combinators.combine(
                        Arbitraries.integers().between(0, INSTANCES - 1),
                        Arbitraries.integers().between(1, 3))
                .as((instanceIndex, version) -> new Step(instanceIndex, version, Optional.empty()));
        Arbitrary<Step> disturb =
                FaultInjection.arbitrary(INSTANCES).map(disturbance -> new Step(0, 0, Optional.of(disturbance)));
        return Arbitraries.frequencyOf(Tuple.of(1, request), Tuple.of(2, disturb))
                .list()
                .ofMinSize(4)
                .ofMaxSize(60);
    }

    @Property(tries = 200, seed = "20261204")
    void pinNeverChanges(@ForAll("schedules") List<Step> steps) {
        assertEquals(1, observedVersions(steps, false).size());
    }

    @Example
    void checkDetectsUnconditionalWrites() {
        assertTrue(schedules().generator(1_000).stream(new Random(1))
                .map(Shrinkable::value)
                .limit(MAX_MUTANT_SCHEDULES)
                .anyMatch(steps -> observedVersions(steps, true).size() > 1));
    }

    private static Set<VersionId> observedVersions(List<Step> steps, boolean writesUnconditionally) {
        SplittableRandom random = new SplittableRandom(5);
        FakeCluster<SessionService> cluster =
                new FakeCluster<>(INSTANCES, (all, instance) -> start(all, instance, random, writesUnconditionally));
        Set<VersionId> observed = new HashSet<>();
        for (Step step : steps) {
            step.disturbance().ifPresent(cluster::inject);
            if (step.disturbance().isEmpty()) {
                request(cluster.instance(step.instanceIndex()), step.version(), observed);
            }
        }
        cluster.heal();
        cluster.instances().forEach(instance -> request(instance, 9, observed));
        cluster.time().advance(5_000);
        return observed;
    }

    private static void request(Instance<SessionService> instance, int version, Set<VersionId> observed) {
        VersionId choice = new VersionId("film", Integer.toString(version));
        instance.process().run(() -> instance.service()
                .pin("optika", "s", "film", () -> choice, false)
                .thenAccept(result -> {
                    if (result instanceof PinResult.Pinned pinned) {
                        observed.add(pinned.version());
                    }
                }));
    }

    private static SessionService start(
            FakeCluster<SessionService> all,
            Instance<SessionService> instance,
            SplittableRandom random,
            boolean writesUnconditionally) {
        KeyValueStore view =
                writesUnconditionally ? new UnconditionalWriteStore(all.store(), instance.client()) : instance.client();
        SlotLogContext context = new SlotLogContext(
                view,
                instance.process().scheduler(),
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
