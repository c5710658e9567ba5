package baobabcroft.relay;

import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.limit.BoundReport;
import baobabcroft.limit.DomainBoundReports;
import baobabcroft.relay.RelayFixture.Caller;
import baobabcroft.relay.RelayFixture.SentRequest;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalDouble;
import java.util.function.LongFunction;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The pattern "endpoint in need": one of three endpoints states a limit on the requests of all instances together, and
 * a fleet without a network, whose instances all prefer that endpoint, has traffic for much more.
 */
class EndpointLimitFleetTest {
    private static final String LIMITED = "orders-1";
    /** Histories a case; more by hand, as -Dbaobabcroft.test.seeds=300. */
    private static final long SEEDS = Long.getLong("baobabcroft.test.seeds", 3);

    private static final long STEP_MILLIS = 10;
    private static final int MAX_ARRIVALS_PER_STEP = 5;
    private static final long LIMITED_FROM_MILLIS = 2_000;
    private static final long DURATION_MILLIS = 24_000;
    private static final long ANSWER_MILLIS = 86;

    /** The contract counts windows of this length, in milliseconds, from this long after the first statement. */
    private static final long WINDOW_MILLIS = 4_000;
    /** The contract counts the sends of an instance from this long after it was told, in milliseconds. */
    private static final long TOLD_MILLIS = 500;

    private static final double WINDOW_FACTOR = 1.5;
    private static final double WINDOW_SLACK = 5;

    private static final int DOMAINS = 3;
    private static final long LOCAL_NOTICE_MILLIS = 1_000;
    private static final long REMOTE_NOTICE_MILLIS = 1_000;
    private static final int REMOTE_RECIPIENTS = 12;
    private static final double LOST_NOTICES = 0.3;

    /** A request that waits for its answer. */
    private record Open(SentRequest sent, long answerAtMillis) {}

    /** One instance, with what it has sent and when it was first told of the limit. */
    private static final class Instance {
        private final int number;
        private final String name;
        private final List<Open> open = new ArrayList<>();
        private List<OptionalDouble> reportedLimits = List.of();
        private RelayFixture relay;
        private DomainBoundReports domainReports;
        private int seen;
        private long toldAtMillis;
        private long cutUntilMillis;

        private Instance(int number) {
            this.number = number;
            this.name = "instance-" + number;
        }

        private int domain() {
            return number % DOMAINS;
        }

        /** Forgets everything, as a process that was killed. */
        private void start(RelayFixture fixture) {
            relay = fixture;
            domainReports = DomainBoundReports.create(fixture::now);
            open.clear();
            seen = 0;
            toldAtMillis = Long.MAX_VALUE;
        }
    }

    /** A send to the limited endpoint, and whether the contract counts it. */
    private record LimitedSend(long atMillis, boolean counted) {}

    /** One play of a fleet. */
    private static final class Play {
        private final UniformRandomProvider random;
        private final double limitPerSecond;
        private final double requestsPerSecond;
        /** The limit at a time in milliseconds; empty for none. */
        private LongFunction<OptionalDouble> limit;

        private final ImmutableSet<String> names;
        private final List<Instance> instances = new ArrayList<>();
        private final List<LimitedSend> limitedSends = new ArrayList<>();
        private boolean notices = true;
        private double restartsPerSecond;
        private double cutsPerSecond;
        private long durationMillis = DURATION_MILLIS;
        private long now;

        private Play(long seed, int instanceCount, double limitPerSecond, double requestsPerSecond) {
            this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
            this.limitPerSecond = limitPerSecond;
            this.requestsPerSecond = requestsPerSecond;
            this.limit = at -> at >= LIMITED_FROM_MILLIS ? OptionalDouble.of(limitPerSecond) : OptionalDouble.empty();
            this.names = IntStream.range(0, instanceCount)
                    .mapToObj(i -> "instance-" + i)
                    .collect(ImmutableSet.toImmutableSet());
            for (int i = 0; i < instanceCount; i++) {
                Instance instance = new Instance(i);
                instance.start(RelayFixture.create(instance.name, () -> names));
                instances.add(instance);
            }
        }

        private Play run() {
            for (now = 0; now < durationMillis; now += STEP_MILLIS) {
                for (int i = 0; i < MAX_ARRIVALS_PER_STEP; i++) {
                    if (happens(requestsPerSecond / MAX_ARRIVALS_PER_STEP)) {
                        drawInstance().relay.start("/order/1", new Caller());
                    }
                }
                if (happens(restartsPerSecond)) {
                    restart(drawInstance());
                }
                if (happens(cutsPerSecond)) {
                    drawInstance().cutUntilMillis = now + 3_000;
                }
                for (Instance instance : instances) {
                    takeNewSends(instance);
                    answerDue(instance);
                    if (notices) {
                        sendNotices(instance);
                    }
                    instance.relay.advance(STEP_MILLIS);
                }
            }
            return this;
        }

        private boolean happens(double perSecond) {
            return random.nextDouble() < perSecond * STEP_MILLIS / 1_000;
        }

        private Instance drawInstance() {
            return instances.get(random.nextInt(instances.size()));
        }

        private void restart(Instance instance) {
            RelayFixture fixture = RelayFixture.create(instance.name, () -> names);
            fixture.advance(instance.relay.now());
            instance.start(fixture);
        }

        private void takeNewSends(Instance instance) {
            for (; instance.seen < instance.relay.sentRequests.size(); instance.seen++) {
                SentRequest sent = instance.relay.sentRequests.get(instance.seen);
                instance.open.add(new Open(sent, sent.sentAtMillis + ANSWER_MILLIS));
                if (isLimited(sent)) {
                    boolean counted = sent.sentAtMillis - TOLD_MILLIS >= instance.toldAtMillis;
                    limitedSends.add(new LimitedSend(sent.sentAtMillis, counted));
                }
            }
        }

        private void answerDue(Instance instance) {
            List<Open> due = instance.open.stream()
                    .filter(open -> open.answerAtMillis() <= now)
                    .toList();
            instance.open.removeAll(due);
            for (Open open : due) {
                OptionalDouble stated = limit.apply(now);
                if (isLimited(open.sent()) && stated.isPresent()) {
                    instance.toldAtMillis = Math.min(instance.toldAtMillis, now);
                    open.sent().answer(200, "done", new Header("limit", Double.toString(stated.getAsDouble())));
                } else {
                    open.sent().answer(200, "done");
                }
            }
        }

        /** Instances send notices at different times, some of which are lost. */
        private void sendNotices(Instance sender) {
            long phase = now + 37L * sender.number;
            ImmutableList<BoundReport> own = sender.relay.availability.limitReports();
            List<OptionalDouble> limits = own.stream().map(BoundReport::bound).toList();
            if (!limits.equals(sender.reportedLimits) || phase % LOCAL_NOTICE_MILLIS < STEP_MILLIS) {
                sender.reportedLimits = limits;
                instances.stream()
                        .filter(peer -> peer != sender && peer.domain() == sender.domain() && isDelivered(sender, peer))
                        .forEach(peer -> {
                            peer.domainReports.setPeer(sender.name, own);
                            peer.relay.availability.onReports(own, List.of());
                        });
            }
            if (phase % REMOTE_NOTICE_MILLIS < STEP_MILLIS) {
                ImmutableList<BoundReport> latest = sender.domainReports.latest(own);
                for (int i = 0; i < REMOTE_RECIPIENTS; i++) {
                    Instance peer = drawInstance();
                    if (peer.domain() != sender.domain() && isDelivered(sender, peer)) {
                        peer.relay.availability.onReports(latest, List.of());
                    }
                }
            }
        }

        private boolean isDelivered(Instance sender, Instance receiver) {
            return sender.cutUntilMillis <= now
                    && receiver.cutUntilMillis <= now
                    && random.nextDouble() >= LOST_NOTICES;
        }

        private static boolean isLimited(SentRequest sent) {
            return sent.endpoint.id().equals(LIMITED);
        }

        /** Returns the most sends that the contract counts in any window that ends late enough for it. */
        private long mostCounted() {
            return mostInWindow(LIMITED_FROM_MILLIS, limitedSends.stream().filter(LimitedSend::counted));
        }

        /** Returns the most sends in any window, told or not, from a time on. */
        private long mostFrom(long millis) {
            return mostInWindow(millis, limitedSends.stream().filter(send -> send.atMillis() >= millis));
        }

        private static long mostInWindow(long fromMillis, Stream<LimitedSend> sends) {
            long[] times = sends.mapToLong(LimitedSend::atMillis).toArray();
            return Arrays.stream(times)
                    .filter(end -> end >= fromMillis + WINDOW_MILLIS)
                    .map(end -> Arrays.stream(times)
                            .filter(at -> at > end - WINDOW_MILLIS && at <= end)
                            .count())
                    .max()
                    .orElse(0);
        }

        private long sentAtLimit() {
            return sentBetween(LIMITED_FROM_MILLIS + WINDOW_MILLIS, DURATION_MILLIS);
        }

        private long sentBetween(long fromMillis, long untilMillis) {
            return limitedSends.stream()
                    .filter(send -> send.atMillis() >= fromMillis && send.atMillis() < untilMillis)
                    .count();
        }

        private double allowedInWindow() {
            return WINDOW_FACTOR * limitPerSecond * WINDOW_MILLIS / 1_000 + WINDOW_SLACK;
        }
    }

    private static void assertAllowed(Play play, long most, long seed) {
        assertTrue(
                most <= play.allowedInWindow(),
                most + " sends in 4 s, allowed " + play.allowedInWindow() + ", seed " + seed);
    }

    /** Guards against LIMIT: all instances together send more than the limit, although they were told of it. */
    @ParameterizedTest(name = "{0} instances, limit {1}/s, {2} requests/s")
    @CsvSource({"9, 1, 20", "9, 6, 40", "82, 1, 60", "82, 10, 60", "300, 1, 90", "300, 20, 90"})
    void allInstancesTogetherKeepToTheLimit(int instances, double limitPerSecond, double requestsPerSecond) {
        for (long seed = 0; seed < SEEDS; seed++) {
            Play play = new Play(seed, instances, limitPerSecond, requestsPerSecond).run();

            assertAllowed(play, play.mostCounted(), seed);
        }
    }

    /**
     * Guards against LIMIT: instances that the endpoint has not told yet, or that have restarted since, send as before
     * unless the others tell them.
     */
    @ParameterizedTest(name = "{0} instances, limit {1}/s, {2} requests/s")
    @CsvSource({"9, 1, 20", "82, 1, 60", "82, 10, 60", "300, 1, 90"})
    void instancesThatWereNotToldKeepToTheLimitToo(int instances, double limitPerSecond, double requestsPerSecond) {
        for (long seed = 0; seed < SEEDS; seed++) {
            Play play = new Play(seed, instances, limitPerSecond, requestsPerSecond);
            play.restartsPerSecond = 0.3;
            play.cutsPerSecond = 0.3;
            play.run();

            assertAllowed(play, play.mostFrom(LIMITED_FROM_MILLIS + 3_000), seed);
        }
    }

    /** The former policy, without reports of other instances, for comparison. */
    @Test
    void wouldSendManyMoreWithoutReports() {
        Play play = new Play(0, 300, 1, 90);
        play.notices = false;
        play.run();

        assertTrue(play.mostFrom(LIMITED_FROM_MILLIS + 3_000) > 2 * play.allowedInWindow());
    }

    /** An endpoint in need still gets what it takes, also where each instance's even part is below one request. */
    @ParameterizedTest(name = "{0} instances, limit {1}/s, {2} requests/s")
    @CsvSource({"9, 1, 20", "9, 6, 40", "82, 1, 200", "300, 1, 300"})
    void theLimitIsUsed(int instances, double limitPerSecond, double requestsPerSecond) {
        double seconds = (DURATION_MILLIS - LIMITED_FROM_MILLIS - WINDOW_MILLIS) / 1_000.0;
        Play play = new Play(0, instances, limitPerSecond, requestsPerSecond).run();

        assertTrue(play.sentAtLimit() >= 0.5 * limitPerSecond * seconds, "sent " + play.sentAtLimit());
    }

    /** A limit of 10 a second that falls to 1, rises to 6 and ends. */
    @ParameterizedTest(name = "{0} instances, {1} requests/s")
    @CsvSource({"9, 40", "82, 100"})
    void aLimitThatChangesIsFollowed(int instances, double requestsPerSecond) {
        for (long seed = 0; seed < SEEDS; seed++) {
            Play play = new Play(seed, instances, 10, requestsPerSecond);
            play.limit = EndpointLimitFleetTest::fallingRisingAndEnding;
            play.durationMillis = 28_000;
            play.run();

            assertTrue(play.sentBetween(9_000, 13_000) <= 11, "after the fall: " + play.sentBetween(9_000, 13_000));
            assertTrue(play.sentBetween(15_000, 19_000) <= 41, "after the rise: " + play.sentBetween(15_000, 19_000));
            // Twice what the former limit allows: the rise is noticed by the one request a second, and passed on.
            assertTrue(play.sentBetween(17_000, 21_000) >= 8, "after the rise: " + play.sentBetween(17_000, 21_000));
            assertTrue(play.sentBetween(26_000, 28_000) >= 24, "after the end: " + play.sentBetween(26_000, 28_000));
            // The instances return one after the other, not all with their next request.
            assertTrue(play.sentBetween(23_000, 23_200) <= 8, "at the end: " + play.sentBetween(23_000, 23_200));
        }
    }

    private static OptionalDouble fallingRisingAndEnding(long atMillis) {
        if (atMillis < LIMITED_FROM_MILLIS || atMillis >= 23_000) {
            return OptionalDouble.empty();
        }
        if (atMillis < 7_000) {
            return OptionalDouble.of(10);
        }
        return OptionalDouble.of(atMillis < 13_000 ? 1 : 6);
    }
}
