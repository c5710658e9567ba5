package baobabcroft.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.common.Execution;
import baobabcroft.directory.EndpointEntry;
import baobabcroft.load.EndpointKey;
import baobabcroft.load.PeerLoads;
import baobabcroft.load.PeerLoads.Load;
import baobabcroft.relay.RelayFixture.Caller;
import baobabcroft.routing.AllowedRegions;
import baobabcroft.routing.ServiceProfile;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

class MemoryRuleTest {
    private static final Optional<String> MODEL = Optional.of("small");
    private static final EndpointEntry ENGINE = RelayFixture.endpoint("engines", 1);
    private static final EndpointKey KEY = EndpointKey.of(ENGINE.id());

    private long nowMillis = 10_000;
    private final PeerLoads peerLoads = PeerLoads.create(() -> nowMillis);
    private final EndpointLoads loads = EndpointLoads.create(() -> nowMillis, peerLoads, () -> {});
    private final MemoryRule rule = new MemoryRule(loads, peerLoads, 2, () -> nowMillis, () -> {});

    private static Prompt prompt(int tokens) {
        return new Prompt(ImmutableList.of(new PromptPart("own", tokens)), tokens, 0);
    }

    private Optional<Ineligibility> check(int tokens, long capacityTokens) {
        ServiceProfile profile =
                new ServiceProfile("engines", 300, 64, capacityTokens, ImmutableMap.of(), Optional.empty());
        return rule.check(
                ENGINE, new EligibilityRequest(AllowedRegions.ALL, Optional.of(profile), MODEL, prompt(tokens)));
    }

    @Test
    void countsOwnRequestsUntilTheyEnd() {
        EndpointLoads.InFlightRequest running = loads.stateOf(ENGINE).startRequest(MODEL, prompt(60_000), 100_000);

        assertEquals(Optional.of(Ineligibility.MEMORY_FULL), check(40_000, 100_000));
        running.answered(false);
        assertEquals(Optional.empty(), check(40_000, 100_000));
    }

    @Test
    void countsRequestsOfOtherInstancesAndFailureDomains() {
        peerLoads.updateInstance("instance-2", 1, Map.of(KEY, new Load(3, 0, 0, 0, 30_000)));
        peerLoads.updateFailureDomain("domain-2", Map.of(KEY, new Load(3, 0, 0, 0, 30_000)));

        assertEquals(Optional.of(Ineligibility.MEMORY_FULL), check(40_000, 100_000));
        assertEquals(Optional.empty(), check(25_000, 100_000));
    }

    /** Guards against an engine that is filled while the notices of others are late or lost. */
    @Test
    void oldNoticesLeaveLessRoom() {
        peerLoads.updateFailureDomain("domain-2", Map.of(KEY, new Load(3, 0, 0, 0, 50_000)));
        assertEquals(Optional.empty(), check(30_000, 100_000));

        nowMillis += 1_000;
        assertEquals(Optional.of(Ineligibility.MEMORY_FULL), check(30_000, 100_000));
    }

    /** Guards against an upgrade in which new builds take the engines of old ones for empty. */
    @Test
    void estimatesMemoryOfInstancesThatReportNone() {
        peerLoads.updateInstance("old-build", 1, Map.of(KEY, new Load(60, 0)));

        assertEquals(Optional.of(Ineligibility.MEMORY_FULL), check(2_000, 100_000));
        assertEquals(Optional.empty(), check(2_000, 300_000));
    }

    @Test
    void doesNotRestrictServicesWithoutMemory() {
        loads.stateOf(ENGINE).startRequest(MODEL, prompt(60_000), 100_000);
        assertEquals(Optional.empty(), check(60_000, 0));
    }

    @Test
    void expectedOutputIsTheSmallerOfMaximumAndHint() {
        assertEquals(100 + 900, need(900, OptionalInt.empty()));
        assertEquals(100 + 300, need(900, OptionalInt.of(200)));
        assertEquals(100 + 900, need(900, OptionalInt.of(800)));
        assertEquals(100 + 300, need(0, OptionalInt.of(200)));
    }

    private static long need(int maxOutputTokens, OptionalInt hint) {
        return new Prompt(ImmutableList.of(), 100, maxOutputTokens, hint)
                .tokenNeed(MODEL)
                .totalTokens();
    }

    /** Guards against a request that waits, or is sent around, although no endpoint can ever take it. */
    @Test
    void requestLargerThanTheMemoryIsRefusedAtOnce() {
        RelayFixture fixture = RelayFixture.create();
        Caller caller = new Caller();
        fixture.start("/chat/", caller, new Header("prompt-tokens", "300001"));

        assertEquals(503, caller.status);
        assertEquals(0, fixture.sentRequests.size());
        assertEquals(Execution.NOT_RUN, fixture.summaries.get(0).execution());
        assertTrue(caller.headers.first("retry-after-millis").isPresent());
    }
}
