package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.directory.EndpointEntry;
import baobabcroft.load.PeerLoads;
import baobabcroft.routing.ServiceProfile;
import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Chooses the endpoint with the lowest expected time to first output, counting paid traffic as additional time.
 *
 * <p>The expected time is the sum of the network round trip, the prefill of the prompts queued at the endpoint and of
 * this request's own uncached tokens, the delay that in-flight requests add, and the expected cost of a failure. For a
 * shared prompt part that this instance has not sent yet, the endpoints of its {@link PartPlacement} are preferred, so
 * that all instances of a region, or of all regions if the part is long, send it to the same few. Not thread-safe.
 */
public final class EndpointChooser {
    /** Delay that each in-flight request adds to the others on a model engine of usual speed, in milliseconds. */
    private static final double ENGINE_REQUEST_DELAY_MILLIS = 10;
    /** Delay that each in-flight request adds on another instance with one slot, in milliseconds. */
    private static final double PEER_REQUEST_DELAY_MILLIS = 300;
    /** Share of a request's time that a plain endpoint with full slots and no known queue is expected to add. */
    private static final double UNKNOWN_REQUESTS_SHARE = 0.5;
    /** Cost of an endpoint that fails all its requests, in milliseconds: about a whole deadline. */
    private static final double FAILURE_COST_MILLIS = 3_000;
    /** Probability that another instance has already sent a new shared part to its places. */
    private static final double PLACE_CACHED_PROBABILITY = 0.7;
    /** Wait at a place of a shared part above which its next place is used, as a multiple of the time to read it. */
    private static final double PLACE_WAIT_FACTOR = 1.5;
    /**
     * Weight of the time to read a shared part that other endpoints have, besides the delay of the request itself: it
     * delays all other requests of the endpoint.
     */
    private static final double READ_AGAIN_WEIGHT = 1;
    /** Least such wait, in milliseconds: a few requests in flight are no reason to read a part again. */
    private static final double MIN_PLACE_WAIT_MILLIS = 60;
    /** Upper bound of the random time that breaks ties, in milliseconds. */
    private static final double JITTER_MILLIS = 3;

    private final NetworkDistances distances;
    private final EndpointLoads loads;
    private final Runnable refreshLoads;
    private final UniformRandomProvider random;
    /** Places of the shared part of the request for which a choice is being made. */
    private final PartPlacement placement = new PartPlacement();

    /**
     * Creates a chooser.
     *
     * @param failureDomain the failure domain of this instance
     * @param regions region by failure domain; a failure domain that is not listed is a region of its own
     * @param loads state of the endpoints
     * @param refreshLoads run before each choice; takes in what other instances have reported of their loads
     * @param random source of the jitter that breaks ties
     */
    public EndpointChooser(
            String failureDomain,
            Map<String, String> regions,
            EndpointLoads loads,
            Runnable refreshLoads,
            UniformRandomProvider random) {
        this.distances = new NetworkDistances(failureDomain, regions);
        this.loads = checkNotNull(loads);
        this.refreshLoads = checkNotNull(refreshLoads);
        this.random = checkNotNull(random);
    }

    /**
     * Adds the time that a connect to an endpoint took: about a round trip.
     *
     * @param domain failure domain of the endpoint
     * @param connectMillis time until the connection was open, in milliseconds
     */
    public void onConnected(String domain, double connectMillis) {
        distances.onConnected(domain, connectMillis);
    }

    /**
     * A chosen endpoint with its expected times.
     *
     * @param endpoint the endpoint
     * @param firstOutputMillis expected time to the first output, including the cost of a failure, in milliseconds
     * @param waitMillis the part of it that other requests cause, in milliseconds
     * @param roundTripMillis round trip to the endpoint, in milliseconds
     */
    record Choice(EndpointEntry endpoint, double firstOutputMillis, double waitMillis, double roundTripMillis) {}

    /** What is the same for all candidates of a choice. */
    private record Query(
            Optional<ServiceProfile> profile,
            Optional<String> model,
            Prompt prompt,
            boolean atEngine,
            int ownTokens,
            ImmutableList<String> partKeys) {
        private static Query of(Optional<ServiceProfile> profile, Optional<String> model, Prompt prompt) {
            boolean atEngine = profile.isPresent() && profile.get().isEngine();
            return new Query(
                    profile, model, prompt, atEngine, prompt.ownTokens(), EndpointLoads.partKeys(model, prompt));
        }
    }

    /** Returns the best candidate whose id is not in {@code used}, or empty if there is none. */
    Optional<Choice> choose(
            Collection<EndpointEntry> candidates,
            Set<String> used,
            Optional<ServiceProfile> profile,
            Optional<String> model,
            Prompt prompt) {
        refreshLoads.run();
        Query query = Query.of(profile, model, prompt);
        placeSharedPart(candidates, used, query);
        EndpointEntry best = null;
        double bestMillis = 0;
        double bestCostMillis = Double.MAX_VALUE;
        for (EndpointEntry candidate : candidates) {
            if (used.contains(candidate.id())) {
                continue;
            }
            EndpointLoads.State state = loads.stateOf(candidate);
            double tokens = query.atEngine() ? state.tokensToPrefill(prompt, query.partKeys()) : 0;
            if (placement.contains(candidate)) {
                tokens -= PLACE_CACHED_PROBABILITY * Math.max(0, tokens - query.ownTokens());
            }
            double firstOutputMillis = expectedMillis(candidate, state, query, tokens);
            double costMillis = firstOutputMillis + readAgainMillis(query, tokens);
            if (costMillis < bestCostMillis) {
                bestCostMillis = costMillis;
                bestMillis = firstOutputMillis;
                best = candidate;
            }
        }
        return best == null
                ? Optional.empty()
                : Optional.of(new Choice(
                        best,
                        bestMillis,
                        waitMillis(loads.stateOf(best), loads.stateOf(best).load()),
                        distances.roundTripMillis(best.failureDomain())));
    }

    private double expectedMillis(EndpointEntry candidate, EndpointLoads.State state, Query query, double tokens) {
        PeerLoads.Load load = state.load();
        double millis = distances.costMillis(candidate.failureDomain()) + random.nextDouble() * JITTER_MILLIS;
        millis += load.failureRate() * FAILURE_COST_MILLIS + load.lateMillis();
        millis += state.isEjected() ? 2 * FAILURE_COST_MILLIS : 0;
        if (query.atEngine()) {
            double prefillMillis = loads.prefillMillis(query.model(), query.prompt(), tokens) * state.timeFactor();
            return millis + prefillMillis + waitMillis(state, load);
        }
        if (query.profile().isEmpty()) {
            return millis + load.inFlight() * PEER_REQUEST_DELAY_MILLIS / candidate.slots();
        }
        return millis + plainMillis(state.plainRequestMillis(), load.inFlight(), candidate.slots());
    }

    /** Returns the cost to other requests, in milliseconds, of reading shared parts again at an endpoint. */
    private double readAgainMillis(Query query, double tokens) {
        double sharedTokens = tokens - query.ownTokens();
        return placement.size() == 0 || sharedTokens <= 0
                ? 0
                : READ_AGAIN_WEIGHT * loads.prefillMillis(query.model(), query.prompt(), sharedTokens);
    }

    /**
     * Returns the expected time of a request at a plain service, in milliseconds. Requests beyond the slots wait for
     * their turn; a part of those under way at other instances is not known yet and may take a free slot.
     */
    private static double plainMillis(double requestMillis, int inFlight, int slots) {
        double waitMillis = Math.max(0, inFlight + 1 - slots) * requestMillis / slots;
        double unknownMillis = UNKNOWN_REQUESTS_SHARE * requestMillis * Math.min(inFlight, slots) / slots;
        return requestMillis + waitMillis + unknownMillis;
    }

    /**
     * Returns the expected delay by other requests at an engine, in milliseconds. The backlog is stated by each
     * instance as it expects it at the engine's speed.
     */
    private static double waitMillis(EndpointLoads.State state, PeerLoads.Load load) {
        return load.prefillBacklogMillis() + load.inFlight() * ENGINE_REQUEST_DELAY_MILLIS * state.timeFactor();
    }

    /**
     * Determines the endpoints to which all instances send a shared part. They agree across regions if that is likely
     * to save more than the way between regions costs. A place is passed over if the wait there is longer than reading
     * the part elsewhere takes.
     */
    private void placeSharedPart(Collection<EndpointEntry> candidates, Set<String> used, Query query) {
        Optional<PromptPart> part = query.prompt().lastSharedPart();
        if (part.isEmpty() || !query.atEngine()) {
            placement.clear();
            return;
        }
        int sharedTokens = query.prompt().sharedTokens();
        double sharedMillis = loads.prefillMillis(query.model(), query.prompt(), sharedTokens);
        boolean anyRegion = PLACE_CACHED_PROBABILITY * sharedMillis > distances.otherRegionCostMillis();
        placement.start(part.get().id());
        for (EndpointEntry candidate : candidates) {
            if (anyRegion || distances.isSameRegion(candidate.failureDomain())) {
                placement.offer(candidate, loads.stateOf(candidate).key().hash());
            }
        }
        double boundMillis = Math.max(MIN_PLACE_WAIT_MILLIS, PLACE_WAIT_FACTOR * sharedMillis);
        int rank = 0;
        while (rank < placement.size() - 1 && isBusy(placement.place(rank), used, boundMillis)) {
            rank++;
        }
        placement.openUpTo(rank);
    }

    private boolean isBusy(EndpointEntry place, Set<String> used, double boundMillis) {
        EndpointLoads.State state = loads.stateOf(place);
        return used.contains(place.id()) || state.isEjected() || waitMillis(state, state.load()) > boundMillis;
    }
}
