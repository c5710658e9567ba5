package baobabcroft.relay;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.relay.ForwardingFleet.Member;
import baobabcroft.relay.RelayFixture.Caller;
import baobabcroft.relay.RelayFixture.SentRequest;
import baobabcroft.routing.AllowedRegions;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Checks on random histories of configurations, evacuations, failures and cuts that no request reaches an endpoint, and
 * no body an instance, outside of the regions that were allowed at its arrival, and none an endpoint of a failure
 * domain that the sending instance knows to be evacuated. Each instance learns of changes at a time of its own.
 */
class PlacementPropertyTest {
    private static final int INSTANCES = 4;
    private static final int DOMAINS = 3;
    private static final List<String> PATHS = List.of("/chat/", "/order/", "/lookup/");

    /** What happens at a step of a history. */
    enum Event {
        CONFIGURE,
        EVACUATE,
        RETURN,
        REQUEST,
        REQUEST_ANY_MODEL,
        ANSWER,
        FAIL_ANSWER,
        DOUBT,
        STREAM,
        LOSE_CONNECTION,
        REJECT,
        PAUSE_ENDPOINT,
        LEAVE,
        REFUSE_CONNECTIONS,
        CUT,
        RECONNECT,
        SLOW_CONNECTIONS,
        PASS
    }

    /** An event, the instance that it is about, a choice of regions, domains or routes, and the time until the next. */
    record Step(Event event, int instance, int choice, int millis) {}

    @Provide
    static Arbitrary<List<Step>> histories() {
        return Combinators.combine(
                        Arbitraries.frequencyOf(
                                Tuple.of(1, Arbitraries.of(Event.class)),
                                Tuple.of(1, Arbitraries.of(Event.REQUEST, Event.CONFIGURE, Event.EVACUATE))),
                        Arbitraries.integers().between(0, INSTANCES - 1),
                        Arbitraries.integers().between(0, 63),
                        Arbitraries.frequencyOf(
                                Tuple.of(1, Arbitraries.integers().between(0, 10)),
                                Tuple.of(1, Arbitraries.integers().between(0, 400))))
                .as(Step::new)
                .list()
                .ofMinSize(10)
                .ofMaxSize(80);
    }

    @Property(tries = 400, seed = "20261206")
    void nothingGoesWhereItMustNot(@ForAll("histories") List<Step> steps) {
        History history = new History();
        steps.forEach(history::play);
        history.end();
    }

    private static final class History {
        private final ForwardingFleet fleet =
                ForwardingFleet.create(INSTANCES, RandomSource.XO_RO_SHI_RO_128_PP.create(7));
        private final Map<String, AllowedRegions> allowedById = new HashMap<>();
        private final AllowedRegions[] allowed = new AllowedRegions[INSTANCES];
        private final List<Caller> callers = new ArrayList<>();
        private final List<SentRequest> open = new ArrayList<>();
        private long version = 1;

        private History() {
            for (int i = 0; i < INSTANCES; i++) {
                Member member = fleet.members.get(i);
                allowed[i] = AllowedRegions.ALL;
                member.relay.onWritten = sent -> onWritten(member, sent);
                member.onForwarded = request -> assertTrue(
                        allowedById.get(request.requestId()).allows(member.relay.failureDomain),
                        "body of " + request.requestId() + " at an instance in " + member.relay.failureDomain);
            }
            fleet.advance(1_000);
        }

        private void onWritten(Member member, SentRequest sent) {
            String domain = sent.endpoint.failureDomain();
            assertTrue(
                    allowedById.get(sent.request.requestId()).allows(domain),
                    sent.request.requestId() + " sent to " + domain);
            assertFalse(member.relay.evacuated.contains(domain), "sent to evacuated " + domain);
            open.add(sent);
        }

        /** Returns domains by the bits of a number; none stands for all. */
        private static AllowedRegions regions(int bits) {
            List<String> names = new ArrayList<>();
            for (int i = 0; i < DOMAINS; i++) {
                if ((bits >> i & 1) == 1) {
                    names.add("domain-" + (i + 1));
                }
            }
            return AllowedRegions.ofList(names);
        }

        private void play(Step step) {
            RelayFixture relay = fleet.members.get(step.instance()).relay;
            String domain = "domain-" + (1 + step.choice() % DOMAINS);
            switch (step.event()) {
                case CONFIGURE -> {
                    AllowedRegions ofRoutes = regions(step.choice() & 7);
                    AllowedRegions ofAccount = regions(step.choice() >> 3);
                    allowed[step.instance()] = ofRoutes.and(ofAccount);
                    relay.routing.updateIfNewer(RelayFixture.table(++version, ofRoutes, ofAccount));
                }
                case EVACUATE -> {
                    relay.evacuated.add(domain);
                    relay.evacuated.add("domain-" + (1 + step.choice() / DOMAINS % DOMAINS));
                    relay.services().pauseQueue().onPlacementChanged();
                }
                case RETURN -> {
                    for (int i = 1; i <= DOMAINS; i++) {
                        relay.evacuated.remove("domain-" + i);
                    }
                }
                case REQUEST -> request(step);
                case REQUEST_ANY_MODEL -> request(step, new Header("model", "*"));
                case ANSWER -> answer(step, sent -> sent.answer(200, "done"));
                case FAIL_ANSWER -> answer(step, sent -> sent.answer(500, "broken"));
                case DOUBT -> answer(step, sent -> sent.head(200, new Header("confidence", "1")));
                case STREAM ->
                    answer(step, sent -> {
                        sent.head(200);
                        sent.event(0);
                        sent.listener.onFailure(SendFailure.CONNECTION_LOST);
                    });
                case LOSE_CONNECTION -> answer(step, sent -> sent.listener.onFailure(SendFailure.CONNECTION_LOST));
                case REJECT -> answer(step, sent -> sent.answer(503, "", new Header("not-run", "1")));
                case PAUSE_ENDPOINT ->
                    answer(step, sent -> sent.answer(503, "", new Header("not-run", "1"), new Header("pause", "1")));
                case LEAVE ->
                    answer(step, sent -> sent.answer(503, "", new Header("not-run", "1"), new Header("leaving", "1")));
                case REFUSE_CONNECTIONS ->
                    relay.refuses = endpoint ->
                            step.choice() % 2 == 0 && endpoint.failureDomain().equals(domain);
                case CUT -> {
                    relay.cutOff = true;
                    fleet.members.get(step.instance()).reachability.onFailure();
                }
                case RECONNECT -> relay.cutOff = false;
                case SLOW_CONNECTIONS -> relay.connectMillis = 5L * step.choice();
                case PASS -> {}
                default -> throw new AssertionError(step);
            }
            fleet.advance(step.millis());
        }

        private void request(Step step, Header... headers) {
            String id = "r-" + callers.size();
            allowedById.put(id, allowed[step.instance()]);
            Caller caller = new Caller();
            callers.add(caller);
            List<Header> all = new ArrayList<>(List.of(headers));
            all.add(new Header("id", id));
            fleet.members
                    .get(step.instance())
                    .relay
                    .start(PATHS.get(step.choice() % PATHS.size()) + id, caller, all.toArray(Header[]::new));
        }

        private void answer(Step step, Consumer<SentRequest> how) {
            if (open.isEmpty()) {
                return;
            }
            SentRequest sent = open.remove(step.choice() % open.size());
            if (!sent.cancelled) {
                how.accept(sent);
            }
        }

        /** No request is held beyond its deadline. */
        private void end() {
            fleet.advance(10_000);
            assertTrue(callers.stream().allMatch(caller -> caller.ended || caller.aborted));
        }
    }
}
