package baobabcroft.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.capacity.HeldTokens;
import baobabcroft.directory.EndpointEntry;
import baobabcroft.fake.VirtualTime;
import baobabcroft.load.EndpointKey;
import baobabcroft.load.PeerLoads;
import baobabcroft.load.PeerLoads.Load;
import baobabcroft.routing.AllowedRegions;
import baobabcroft.routing.ServiceProfile;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Load: long prompts that need 1.3 times the memory of all engines, a fifth of them with the same shared part, while
 * one of six engines leaves after half of the time. Notices are late, and a tenth of them is lost. An engine whose
 * requests exceed its memory would crash.
 */
class MemoryFleetTest {
    private static final int DOMAINS = 3;
    private static final int ENGINES = 6;
    private static final long CAPACITY_TOKENS = 311_184;
    private static final double ARRIVALS_PER_MILLI = 0.13;
    private static final long HOLD_MILLIS = 2_000;
    private static final long DURATION_MILLIS = 20_000;
    private static final long STEP_MILLIS = 10;
    private static final long LOCAL_NOTICE_MILLIS = 50;
    private static final long REMOTE_NOTICE_MILLIS = 500;
    private static final double LOSS = 0.1;

    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(5);
    private final VirtualTime time = new VirtualTime();
    private final List<Instance> fleet = new ArrayList<>();
    private final Map<EndpointEntry, HeldTokens> engines = new HashMap<>();
    private final ServiceProfile profile =
            new ServiceProfile("engines", 300, 64, CAPACITY_TOKENS, ImmutableMap.of(), Optional.empty());
    private long served;
    private long offered;
    private long mostHeldTokens;
    private long sequence;

    /** Decides whether an instance may send a request to an engine. */
    private interface Policy {
        boolean allows(Instance instance, EndpointEntry engine, EligibilityRequest request);
    }

    private final class Instance {
        private final int domain;
        private final PeerLoads peerLoads = PeerLoads.create(time::nowMillis);
        private final EndpointLoads loads = EndpointLoads.create(time::nowMillis, peerLoads, () -> {});
        private final MemoryRule rule = new MemoryRule(loads, peerLoads, DOMAINS - 1, time::nowMillis, () -> {});
        private final EndpointChooser chooser;

        private Instance(int domain) {
            this.domain = domain;
            this.chooser = new EndpointChooser("domain-" + domain, ImmutableMap.of(), loads, () -> {}, random);
        }

        private void serve(Prompt prompt, Policy policy) {
            EligibilityRequest request =
                    new EligibilityRequest(AllowedRegions.ALL, Optional.of(profile), Optional.empty(), prompt);
            List<EndpointEntry> allowed = engines.keySet().stream()
                    .filter(engine -> policy.allows(this, engine, request))
                    .sorted((first, second) -> first.id().compareTo(second.id()))
                    .toList();
            offered++;
            chooser.choose(allowed, Set.of(), Optional.of(profile), Optional.empty(), prompt)
                    .ifPresent(choice -> send(choice.endpoint(), prompt));
        }

        private void send(EndpointEntry engine, Prompt prompt) {
            served++;
            EndpointLoads.InFlightRequest sent =
                    loads.stateOf(engine).startRequest(Optional.empty(), prompt, CAPACITY_TOKENS);
            HeldTokens.Hold held = engines.get(engine).hold(prompt.tokenNeed(Optional.empty()));
            mostHeldTokens = Math.max(mostHeldTokens, engines.get(engine).tokens());
            time.scheduler().schedule((long) (HOLD_MILLIS * (0.5 + random.nextDouble())), () -> {
                sent.firstOutputReceived();
                sent.answered(false);
                held.release();
            });
        }

        private void sendNotices(int index) {
            if (time.nowMillis() % LOCAL_NOTICE_MILLIS == 0) {
                Map<EndpointKey, Load> own = loads.localLoads();
                long number = sequence++;
                fleet.stream()
                        .filter(peer -> peer != this && peer.domain == domain)
                        .forEach(peer -> deliver(() -> peer.peerLoads.updateInstance("i" + index, number, own)));
            }
            if (time.nowMillis() % REMOTE_NOTICE_MILLIS == 0 && index < DOMAINS) {
                Map<EndpointKey, Load> sum = peerLoads.ownDomainLoads(loads.localLoads());
                fleet.stream()
                        .filter(peer -> peer.domain != domain)
                        .forEach(peer -> deliver(() -> peer.peerLoads.updateFailureDomain("d" + domain, sum)));
            }
        }
    }

    private void deliver(Runnable notice) {
        if (random.nextDouble() >= LOSS) {
            time.scheduler().schedule(random.nextInt(60), notice);
        }
    }

    private void play(int instances, Policy policy) {
        for (int i = 0; i < instances; i++) {
            fleet.add(new Instance(i % DOMAINS));
        }
        for (int i = 1; i <= ENGINES; i++) {
            engines.put(RelayFixture.endpoint("engines", i), HeldTokens.create());
        }
        for (long now = 0; now < DURATION_MILLIS; now += STEP_MILLIS) {
            if (now == DURATION_MILLIS / 2) {
                engines.remove(RelayFixture.endpoint("engines", ENGINES));
            }
            for (double due = ARRIVALS_PER_MILLI * STEP_MILLIS; random.nextDouble() < due; due--) {
                fleet.get(random.nextInt(instances)).serve(prompt(), policy);
            }
            for (int i = 0; i < instances; i++) {
                fleet.get(i).sendNotices(i);
            }
            time.advance(STEP_MILLIS);
        }
    }

    private Prompt prompt() {
        int part = random.nextDouble() < 0.2 ? 0 : 1 + random.nextInt(400);
        return new Prompt(
                ImmutableList.of(new PromptPart("part-" + part, 6_300), new PromptPart("own-" + sequence++, 2_890)),
                9_190,
                54);
    }

    private double servedShare() {
        return (double) served / offered;
    }

    @ParameterizedTest
    @ValueSource(ints = {9, 82})
    void enginesNeverHoldMoreThanTheirMemory(int instances) {
        play(instances, (instance, engine, request) -> instance.rule
                .check(engine, request)
                .isEmpty());

        assertTrue(mostHeldTokens <= CAPACITY_TOKENS, "held " + mostHeldTokens);
        assertTrue(servedShare() > 0.5, "served " + servedShare());
    }

    /** The former policy knows nothing of memory. */
    @ParameterizedTest
    @ValueSource(ints = {9, 82})
    void enginesHoldMoreWithoutTheRule(int instances) {
        play(instances, (instance, engine, request) -> true);

        assertTrue(mostHeldTokens > CAPACITY_TOKENS, "held " + mostHeldTokens);
    }

    /** A plain baseline without messages: each instance uses an equal part of the memory. */
    @ParameterizedTest
    @ValueSource(ints = {82})
    void equalPartsOfTheMemoryServeNoLongPrompt(int instances) {
        play(instances, (instance, engine, request) -> {
            HeldTokens own = instance.loads.stateOf(engine).heldTokens();
            return own.tokens() + own.addedTokens(request.prompt().tokenNeed(Optional.empty()))
                    <= CAPACITY_TOKENS / instances;
        });

        assertEquals(0, served);
    }
}
