package baobabcroft.relay;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.directory.EndpointEntry;
import baobabcroft.relay.RelayFixture.Caller;
import baobabcroft.relay.RelayFixture.SentRequest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/**
 * Checks on random histories of answers, late copies, restarts and lists that are read again that no start of an
 * endpoint gets a request after it has said that it leaves, or in the time in which it wants none.
 */
class EndpointAvailabilityPropertyTest {
    private static final int ENDPOINTS = 3;
    private static final long MAX_PAUSE_MILLIS = 60_000;
    /** The longest extension of a pause. */
    private static final long MAX_EXTENSION_MILLIS = 2_000;

    /** What happens at a step of a history. */
    enum Event {
        REQUEST,
        ANSWER,
        ANSWER_LEAVING,
        REJECT,
        REJECT_LEAVING,
        REJECT_WITH_PAUSE,
        REJECT_WITH_UNREADABLE_PAUSE,
        LATE_COPY_LEAVING,
        LATE_COPY_WITH_PAUSE,
        FAIL,
        RESTART,
        READ_LIST_AGAIN,
        PASS
    }

    /** An event, the endpoint or open request that it is about, and the time until the next one. */
    record Step(Event event, int index, int millis) {}

    @Provide
    static Arbitrary<List<Step>> histories() {
        return Combinators.combine(
                        Arbitraries.of(Event.class),
                        Arbitraries.integers().between(0, 9),
                        Arbitraries.integers().between(0, 900))
                .as(Step::new)
                .list()
                .ofMinSize(10)
                .ofMaxSize(80);
    }

    @Property(tries = 1_000, seed = "20261204")
    void noEndpointGetsWhatItDoesNotWant(@ForAll("histories") List<Step> steps) {
        History history = new History();
        steps.forEach(history::play);
        history.settle();
    }

    /** A history, with what each start of an endpoint has said. */
    private static final class History {
        private final RelayFixture relay = RelayFixture.create();
        private final List<EndpointEntry> starts = new ArrayList<>();
        private final Set<EndpointEntry> leaving = new HashSet<>();
        private final Map<EndpointEntry, Long> pausedUntilMillis = new HashMap<>();
        private final List<SentRequest> open = new ArrayList<>();
        private int checked;

        private History() {
            for (int i = 1; i <= ENDPOINTS; i++) {
                starts.add(RelayFixture.endpoint("orders", i));
            }
        }

        private void play(Step step) {
            switch (step.event()) {
                case REQUEST -> relay.start("/lookup/1", new Caller());
                case READ_LIST_AGAIN -> starts.forEach(relay.directory::put);
                case RESTART -> restart(step.index() % ENDPOINTS);
                case PASS -> relay.advance(5L * step.millis());
                default -> answer(step);
            }
            checkNewSends();
            relay.advance(step.millis());
            checkNewSends();
        }

        private void restart(int index) {
            starts.set(index, RelayFixture.restarted(starts.get(index)));
            relay.directory.put(starts.get(index));
        }

        private void answer(Step step) {
            open.removeIf(sent -> sent.cancelled);
            if (open.isEmpty()) {
                return;
            }
            SentRequest sent = open.get(step.index() % open.size());
            Header leaves = new Header("leaving", "1");
            Header notRun = new Header("not-run", "1");
            Header pause = new Header("pause", "1." + step.index());
            switch (step.event()) {
                case ANSWER -> end(sent, 200);
                case ANSWER_LEAVING -> {
                    leaving.add(sent.endpoint);
                    end(sent, 200, leaves);
                }
                case REJECT -> end(sent, 503, notRun);
                case REJECT_LEAVING -> {
                    leaving.add(sent.endpoint);
                    end(sent, 503, notRun, leaves);
                }
                case REJECT_WITH_PAUSE -> {
                    long untilMillis = relay.now() + 1_000 + 100L * step.index();
                    pausedUntilMillis.merge(sent.endpoint, untilMillis, Math::max);
                    end(sent, 503, notRun, pause);
                }
                case REJECT_WITH_UNREADABLE_PAUSE -> end(sent, 503, notRun, new Header("pause", "-" + step.index()));
                case LATE_COPY_LEAVING -> {
                    leaving.add(sent.endpoint);
                    sent.listener.onOtherHead(200, Headers.copyOf(List.of(leaves)));
                }
                case LATE_COPY_WITH_PAUSE ->
                    sent.listener.onOtherHead(503, Headers.copyOf(List.of(notRun, new Header("pause", "50"))));
                case FAIL -> {
                    open.remove(sent);
                    sent.listener.onFailure(SendFailure.CONNECTION_LOST);
                }
                default -> throw new IllegalArgumentException("not about an open request: " + step);
            }
        }

        private void end(SentRequest sent, int status, Header... headers) {
            open.remove(sent);
            sent.answer(status, "", headers);
        }

        private void checkNewSends() {
            for (; checked < relay.sentRequests.size(); checked++) {
                SentRequest sent = relay.sentRequests.get(checked);
                open.add(sent);
                assertFalse(leaving.contains(sent.endpoint), "leaving: " + sent.endpoint);
                long untilMillis = pausedUntilMillis.getOrDefault(sent.endpoint, Long.MIN_VALUE);
                assertTrue(sent.sentAtMillis >= untilMillis, "paused until " + untilMillis + ": " + sent.endpoint);
            }
        }

        /** After the longest pause, every start of an endpoint that has not said that it leaves is available. */
        private void settle() {
            relay.advance(MAX_PAUSE_MILLIS + MAX_EXTENSION_MILLIS);
            for (EndpointEntry start : starts) {
                assertTrue(leaving.contains(start) || relay.availability.isAvailable(start), "not available: " + start);
            }
        }
    }
}
