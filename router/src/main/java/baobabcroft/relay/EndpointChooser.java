package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.directory.EndpointEntry;
import baobabcroft.load.PeerLoads;
import baobabcroft.routing.ServiceProfile;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Chooses the endpoint from which an answer is expected soonest, at the least traffic between regions.
 *
 * <p>Expected time is the way there and back, the prompt tokens that wait before the request and that it brings itself,
 * the requests under way, and what a failure would cost. A subject that this instance has not sent yet goes to the
 * endpoint that rendezvous hashing names, so that all instances of a region send it to the same one. Not thread-safe.
 */
public final class EndpointChooser {
    /** Round trip between failure domains of one region, in milliseconds, and more for the traffic that is paid for. */
    private static final double SAME_REGION_MILLIS = 15;
    /** Round trip between regions, in milliseconds, and as much again for the traffic that is paid for. */
    private static final double OTHER_REGION_MILLIS = 120;
    /** Delay that one more running request brings to the others of an engine, in milliseconds. */
    private static final double ENGINE_REQUEST_MILLIS = 10;
    /** Delay that a request under way brings to a plain service with one slot, in milliseconds. */
    private static final double SLOT_MILLIS = 300;
    /** What an endpoint that fails all its requests costs, in milliseconds: about a whole deadline. */
    private static final double FAILURE_MILLIS = 3_000;
    /** Chance that another instance has sent a new subject to its rendezvous endpoint before. */
    private static final double RENDEZVOUS_KEPT = 0.7;
    /** Breaks ties, in milliseconds. */
    private static final double JITTER_MILLIS = 3;

    private final String failureDomain;
    private final Map<String, String> regions;
    private final EndpointLoads loads;
    private final UniformRandomProvider random;

    /**
     * Creates a chooser.
     *
     * @param failureDomain where this instance stands
     * @param regions the region of each failure domain
     * @param loads what is known of the endpoints
     * @param random breaks ties
     */
    public EndpointChooser(
            String failureDomain, Map<String, String> regions, EndpointLoads loads, UniformRandomProvider random) {
        this.failureDomain = checkNotNull(failureDomain);
        this.regions = Map.copyOf(regions);
        this.loads = checkNotNull(loads);
        this.random = checkNotNull(random);
    }

    /**
     * An endpoint and what is expected of it.
     *
     * @param endpoint the endpoint
     * @param firstOutputMillis expected time to the first output, in milliseconds, with what a failure would cost
     * @param waitMillis the part of it that other requests cause, in milliseconds
     */
    record Choice(EndpointEntry endpoint, double firstOutputMillis, double waitMillis) {}

    /** Returns the best of the candidates that was not used yet, or empty if none is left. */
    Optional<Choice> choose(
            Collection<EndpointEntry> candidates,
            Set<String> used,
            Optional<ServiceProfile> profile,
            Optional<String> model,
            Prompt prompt) {
        Optional<String> home = prompt.subject().flatMap(subject -> rendezvous(candidates, subject.id()));
        EndpointEntry best = null;
        double bestMillis = Double.MAX_VALUE;
        for (EndpointEntry candidate : candidates) {
            if (used.contains(candidate.id())) {
                continue;
            }
            boolean isHome = home.isPresent() && home.get().equals(candidate.id());
            double millis = expectedMillis(candidate, profile, model, prompt, isHome);
            if (millis < bestMillis) {
                bestMillis = millis;
                best = candidate;
            }
        }
        return best == null
                ? Optional.empty()
                : Optional.of(
                        new Choice(best, bestMillis, waitMillis(loads.of(best).load())));
    }

    private double expectedMillis(
            EndpointEntry candidate,
            Optional<ServiceProfile> profile,
            Optional<String> model,
            Prompt prompt,
            boolean isHome) {
        EndpointLoads.State state = loads.of(candidate);
        PeerLoads.Load load = state.load();
        double millis = distanceMillis(candidate) + random.nextDouble() * JITTER_MILLIS;
        millis += load.failureRate() * FAILURE_MILLIS + load.lateMillis();
        millis += state.isEjected() ? 2 * FAILURE_MILLIS : 0;
        if (profile.isPresent() && profile.get().isEngine()) {
            double ownTokens = state.tokensToRead(model, prompt) * (isHome ? 1 - RENDEZVOUS_KEPT : 1);
            return millis + loads.readMillis(model, prompt, ownTokens) + waitMillis(load);
        }
        return millis + load.inFlight() * SLOT_MILLIS / candidate.slots();
    }

    private static double waitMillis(PeerLoads.Load load) {
        return load.unreadMillis() + load.inFlight() * ENGINE_REQUEST_MILLIS;
    }

    private double distanceMillis(EndpointEntry candidate) {
        if (candidate.failureDomain().equals(failureDomain)) {
            return 0;
        }
        String here = regions.getOrDefault(failureDomain, failureDomain);
        String there = regions.getOrDefault(candidate.failureDomain(), candidate.failureDomain());
        return here.equals(there) ? SAME_REGION_MILLIS : OTHER_REGION_MILLIS;
    }

    private Optional<String> rendezvous(Collection<EndpointEntry> candidates, String subject) {
        String best = null;
        long bestHash = 0;
        for (EndpointEntry candidate : candidates) {
            if (distanceMillis(candidate) >= OTHER_REGION_MILLIS) {
                continue;
            }
            long hash = Hashing.murmur3_128()
                    .hashString(candidate.id() + '/' + subject, StandardCharsets.UTF_8)
                    .asLong();
            if (best == null || hash > bestHash) {
                best = candidate.id();
                bestHash = hash;
            }
        }
        return Optional.ofNullable(best);
    }
}
