package baobabcroft.pace;

import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.directory.EndpointEntry;
import baobabcroft.relay.SendGate;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.BiPredicate;
import java.util.function.Function;
import org.junit.jupiter.api.Test;

/**
 * A model in virtual time of the load scenario "one of 42 engines starts during traffic" (payroll deployment): 152
 * streams a second of 4 s each, so that each engine holds 14 and the one that has started none. It is cold for 3 s and
 * then tolerates 8.8 requests a second. The first output takes 100 ms and 10 ms for each stream that the engine holds,
 * three times as long at the cold one. Each instance prefers near engines with little load as it knows it: its own at
 * once, the others' up to 50 ms late. It learns of the start up to 0.3 s late in one case, and up to 3.2 s late in the
 * other. The model prints the table of docs/design/endpoint-pace.md.
 */
class PacePolicyModelTest {
    private static final int ENGINES = 42;
    private static final double REQUESTS_PER_SECOND = 152;
    private static final long STREAM_MILLIS = 4_000;
    private static final long FIRST_OUTPUT_MILLIS = 100;
    private static final long OUTPUT_MILLIS_PER_STREAM = 10;
    /** Factor by which a cold engine is slower than a warm one. */
    private static final long COLD_FACTOR = 3;

    private static final long STEP_MILLIS = 10;
    private static final long NOTICE_MILLIS = 50;
    private static final int DOMAINS = 6;
    /** Costs of another domain and of another region, as numbers of requests in flight; those of EndpointChooser. */
    private static final double OTHER_DOMAIN_COST = 1.5;

    private static final double OTHER_REGION_COST = 12;
    private static final long SHORT_LISTING_DELAY_MILLIS = 300;
    private static final long MAX_LISTING_DELAY_MILLIS = 3_200;
    private static final long WARM_MILLIS = PaceFixture.DURATION_MILLIS;
    private static final long RUN_MILLIS = 16_000;
    private static final long LATE_MILLIS = 500;
    /** Time before the start in which queues build up, in milliseconds. */
    private static final long BEFORE_MILLIS = 5_000;

    private static final long EARLY_MILLIS = 5_000;
    private static final EndpointEntry STARTED = PaceFixture.endpoint(2);

    /** What a policy sees of one instance. */
    private static final class Instance {
        private final int number;
        private final PaceFixture.Member member;
        private final int[] own = new int[ENGINES];
        private long listedAtMillis;
        private double tokens = 1;
        private double rate = 0.2;
        private double shortMillis = 100;
        private double longMillis = 100;

        private Instance(int number, PaceFixture.Member member) {
            this.number = number;
            this.member = member;
        }
    }

    private record Open(int instance, int engine, long doneAtMillis) {}

    private record Output(int instance, long millis, long atMillis) {}

    /** Decides whether an instance may use the engine that has started, and learns from its responses. */
    @SuppressWarnings("UnusedVariable") // Most policies do not learn from responses.
    private interface Policy {
        boolean mayUse(Instance instance, long nowMillis);

        default void sent(Instance instance) {}

        default void answered(Instance instance, long millis) {}
    }

    private record Result(int coldPeak, int peak, long fairAtMillis, int early, int late, int total) {}

    private static Result play(int size, Function<PaceFixture, Policy> newPolicy, long maxDelayMillis, long seed) {
        return new Run(size, newPolicy, maxDelayMillis, seed).play();
    }

    /** One run of the model. */
    private static final class Run {
        private final PaceFixture fleet;
        private final Policy policy;
        private final List<Instance> instances = new ArrayList<>();
        private final long start;
        private final int[] load = new int[ENGINES];
        private final int[] told = new int[ENGINES];
        private final PriorityQueue<Output> outputs =
                new PriorityQueue<>((a, b) -> Long.compare(a.atMillis(), b.atMillis()));
        private final PriorityQueue<Open> open =
                new PriorityQueue<>((a, b) -> Long.compare(a.doneAtMillis(), b.doneAtMillis()));
        private final Deque<Long> lastSecond = new ArrayDeque<>();
        private int early;
        private int late;
        private int total;
        private int coldPeak;
        private int peak;
        private long fairAtMillis = RUN_MILLIS;
        private double due;

        private Run(int size, Function<PaceFixture, Policy> newPolicy, long maxDelayMillis, long seed) {
            fleet = new PaceFixture(size, seed).settled();
            policy = newPolicy.apply(fleet);
            start = fleet.nowMillis + BEFORE_MILLIS;
            for (int i = 0; i < size; i++) {
                Instance instance = new Instance(i, fleet.members.get(i));
                instance.listedAtMillis = start + (long) (fleet.random.nextDouble() * maxDelayMillis);
                instances.add(instance);
            }
        }

        private Result play() {
            for (long at = -BEFORE_MILLIS; at < RUN_MILLIS; at += STEP_MILLIS) {
                fleet.nowMillis = start + at;
                endRequests(fleet.nowMillis);
                if (at % NOTICE_MILLIS == 0) {
                    System.arraycopy(load, 0, told, 0, ENGINES);
                }
                updateInstances(at, fleet.nowMillis);
                due += REQUESTS_PER_SECOND * STEP_MILLIS / 1_000;
                for (; due >= 1; due--) {
                    send(at, fleet.nowMillis);
                }
            }
            return new Result(coldPeak, peak, fairAtMillis, early, late, total);
        }

        private void endRequests(long now) {
            while (!open.isEmpty() && open.peek().doneAtMillis() <= now) {
                Open done = open.poll();
                load[done.engine()]--;
                instances.get(done.instance()).own[done.engine()]--;
            }
            while (!outputs.isEmpty() && outputs.peek().atMillis() <= now) {
                Output output = outputs.poll();
                policy.answered(instances.get(output.instance()), output.millis());
            }
        }

        private void updateInstances(long at, long now) {
            for (Instance instance : instances) {
                if (instance.listedAtMillis > now - STEP_MILLIS && instance.listedAtMillis <= now) {
                    instance.member.list(STARTED, 0);
                }
                if (at % 250 == 0) {
                    instance.member.pace.tick();
                }
            }
        }

        private void send(long at, long now) {
            Instance instance = instances.get(fleet.random.nextInt(instances.size()));
            boolean usable = instance.listedAtMillis <= now && policy.mayUse(instance, now);
            int engine = choose(fleet, instance, told, usable);
            instance.own[engine]++;
            load[engine]++;
            long factor = engine == 0 && at < WARM_MILLIS ? COLD_FACTOR : 1;
            long outputMillis = factor * (FIRST_OUTPUT_MILLIS + OUTPUT_MILLIS_PER_STREAM * load[engine]);
            open.add(new Open(instance.number, engine, now + STREAM_MILLIS));
            late += at >= 0 && outputMillis > LATE_MILLIS ? 1 : 0;
            total += at >= 0 ? 1 : 0;
            early += engine == 0 && at < EARLY_MILLIS ? 1 : 0;
            if (engine == 0) {
                policy.sent(instance);
                outputs.add(new Output(instance.number, outputMillis, now + outputMillis));
                lastSecond.add(now);
            }
            countLastSecond(at, now);
        }

        private void countLastSecond(long at, long now) {
            while (!lastSecond.isEmpty() && lastSecond.peek() <= now - 1_000) {
                lastSecond.poll();
            }
            peak = Math.max(peak, lastSecond.size());
            coldPeak = at < WARM_MILLIS ? peak : coldPeak;
            if (fairAtMillis == RUN_MILLIS && lastSecond.size() >= REQUESTS_PER_SECOND / ENGINES) {
                fairAtMillis = at;
            }
        }
    }

    private static int choose(PaceFixture fleet, Instance instance, int[] told, boolean usable) {
        int best = -1;
        double bestLoad = Double.MAX_VALUE;
        for (int engine = usable ? 0 : 1; engine < ENGINES; engine++) {
            double known = Math.max(told[engine], instance.own[engine])
                    + cost(instance, engine)
                    + 0.3 * fleet.random.nextDouble();
            if (known < bestLoad) {
                bestLoad = known;
                best = engine;
            }
        }
        return best;
    }

    private static double cost(Instance instance, int engine) {
        int here = instance.number % DOMAINS;
        int there = engine % DOMAINS;
        if (here == there) {
            return 0;
        }
        return here / 2 == there / 2 ? OTHER_DOMAIN_COST : OTHER_REGION_COST;
    }

    private static Policy of(BiPredicate<Instance, Long> mayUse) {
        return mayUse::test;
    }

    private static Policy bucket(int size) {
        return new Policy() {
            private final Map<Instance, Long> refilled = new LinkedHashMap<>();

            @Override
            public boolean mayUse(Instance instance, long now) {
                long last = refilled.getOrDefault(instance, now);
                refilled.put(instance, now);
                boolean cold = now - instance.listedAtMillis < WARM_MILLIS;
                instance.tokens = Math.min(1, instance.tokens + (now - last) * PaceFixture.RATE / size / 1_000);
                return !cold || instance.tokens >= 1;
            }

            @Override
            public void sent(Instance instance) {
                instance.tokens--;
            }
        };
    }

    /** Each instance adds to its rate with each timely response, and halves it with a late one. */
    private static Policy additiveIncrease() {
        return new Policy() {
            private final Map<Instance, Long> lastSent = new LinkedHashMap<>();
            private long now;

            @Override
            public boolean mayUse(Instance instance, long nowMillis) {
                now = nowMillis;
                return nowMillis - lastSent.getOrDefault(instance, Long.MIN_VALUE / 2) >= 1_000 / instance.rate;
            }

            @Override
            public void sent(Instance instance) {
                lastSent.put(instance, now);
            }

            @Override
            public void answered(Instance instance, long millis) {
                instance.rate = millis > LATE_MILLIS ? Math.max(0.2, instance.rate / 2) : instance.rate + 0.2;
            }
        };
    }

    /** Each instance bounds its open requests by the ratio of the usual response time to the recent one. */
    private static Policy gradient() {
        return new Policy() {
            @Override
            public boolean mayUse(Instance instance, long now) {
                double gradient = Math.min(1, instance.longMillis / instance.shortMillis);
                return instance.own[0] < Math.max(1, gradient * instance.tokens);
            }

            @Override
            public void answered(Instance instance, long millis) {
                instance.shortMillis += 0.3 * (millis - instance.shortMillis);
                instance.longMillis += 0.02 * (millis - instance.longMillis);
                double gradient = Math.min(1, instance.longMillis / instance.shortMillis);
                instance.tokens = Math.min(64, gradient * instance.tokens + Math.sqrt(instance.tokens) * 0.5);
            }
        };
    }

    private static Policy shares() {
        return new Policy() {
            @Override
            public boolean mayUse(Instance instance, long now) {
                return !instance.member.pace.isHeldBack(STARTED);
            }

            @Override
            public void sent(Instance instance) {
                SendGate.Pass pass = instance.member.pace.enter(STARTED);
                assertTrue(pass.confirm());
            }
        };
    }

    private static int owner(int size) {
        return Math.floorMod(
                Hashing.murmur3_128()
                        .hashString(STARTED.incarnation(), StandardCharsets.UTF_8)
                        .asInt(),
                size);
    }

    /** Compares the policies, and guards the figures that the design note relies on. */
    @Test
    void policiesAtAnEngineThatStarts() {
        Map<String, Function<PaceFixture, Policy>> policies = new LinkedHashMap<>();
        policies.put("no pace", fleet -> of((instance, now) -> true));
        policies.put(
                "owner by hash",
                fleet -> of((instance, now) -> now - instance.listedAtMillis >= WARM_MILLIS
                        || instance.number == owner(fleet.members.size())));
        policies.put("equal shares of all", fleet -> bucket(fleet.members.size()));
        policies.put("additive increase", fleet -> additiveIncrease());
        policies.put("gradient of response times", fleet -> gradient());
        policies.put("shares of few holders (built)", fleet -> shares());
        for (long delayMillis : new long[] {SHORT_LISTING_DELAY_MILLIS, MAX_LISTING_DELAY_MILLIS}) {
            compare(policies, delayMillis);
        }
    }

    private static void compare(Map<String, Function<PaceFixture, Policy>> policies, long delayMillis) {
        for (int size : new int[] {9, 82, 300}) {
            policies.forEach((name, policy) -> {
                Result result = play(size, policy, delayMillis, 20261206L + size);
                System.out.printf(
                        Locale.ROOT,
                        "| %d ms | %d | %s | %d | %d | %d | %d | %d of %d |%n",
                        delayMillis,
                        size,
                        name,
                        result.coldPeak(),
                        result.peak(),
                        result.fairAtMillis(),
                        result.early(),
                        result.late(),
                        result.total());
                if (name.contains("built")) {
                    assertTrue(result.coldPeak() <= PaceFixture.BOUND, "peak " + result.coldPeak());
                    assertTrue(result.early() >= 5, "idle: " + result.early() + " requests in the first 5 s");
                }
            });
        }
    }
}
