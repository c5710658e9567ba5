package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.capacity.HeldTokens;
import baobabcroft.capacity.TokenMemory;
import baobabcroft.capacity.TokenNeed;
import baobabcroft.directory.EndpointEntry;
import baobabcroft.load.PeerLoads;
import baobabcroft.routing.ServiceProfile;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Excludes model engines whose token memory a request does not fit into, beside what the requests of all instances hold
 * there. Services without a stated memory are not restricted. Not thread-safe.
 */
public final class MemoryRule implements EndpointEligibility.Rule {
    /** Memory of a request at an instance that reports none, while no own request is known, in tokens. */
    private static final double DEFAULT_REQUEST_TOKENS = 2_000;
    /** A request counts in the average as no more than this part of the memory, whatever its caller states. */
    private static final long MAX_AVERAGED_PART = 16;
    /** Weight of a request in the moving average of the memory of one. */
    private static final double SMOOTHING = 0.05;

    private final EndpointLoads loads;
    private final PeerLoads peerLoads;
    private final int otherDomains;
    private final LongSupplier nowMillis;
    private final Runnable onExcluded;
    private Optional<EligibilityRequest> lastRequest = Optional.empty();
    private TokenNeed lastNeed = TokenNeed.NONE;
    private double meanRequestTokens = DEFAULT_REQUEST_TOKENS;

    /**
     * Creates the rule.
     *
     * @param loads what this instance's requests hold
     * @param peerLoads what those of other instances hold
     * @param otherDomains number of the other failure domains that have instances
     * @param nowMillis monotonic clock, in milliseconds
     * @param onExcluded run each time an endpoint is excluded
     */
    public MemoryRule(
            EndpointLoads loads, PeerLoads peerLoads, int otherDomains, LongSupplier nowMillis, Runnable onExcluded) {
        this.loads = checkNotNull(loads);
        this.peerLoads = checkNotNull(peerLoads);
        this.otherDomains = otherDomains;
        this.nowMillis = checkNotNull(nowMillis);
        this.onExcluded = checkNotNull(onExcluded);
    }

    @Override
    public Optional<Ineligibility> check(EndpointEntry endpoint, EligibilityRequest request) {
        long capacityTokens = request.profile().map(ServiceProfile::cacheTokens).orElse(0L);
        if (capacityTokens == 0) {
            return Optional.empty();
        }
        TokenNeed need = needOf(request, capacityTokens);
        EndpointLoads.State state = loads.stateOf(endpoint);
        HeldTokens own = state.heldTokens();
        long requestTokens = (long) meanRequestTokens;
        long domainTokens = own.tokens() + peerLoads.ownDomainHeldTokens(state.key(), requestTokens);
        long unreportedTokens = otherDomains * own.domainGrowthTokens(nowMillis.getAsLong(), domainTokens);
        long heldTokens =
                domainTokens + peerLoads.otherDomainsHeldTokens(state.key(), requestTokens) + unreportedTokens;
        if (TokenMemory.fits(capacityTokens, heldTokens, own.addedTokens(need))) {
            return Optional.empty();
        }
        onExcluded.run();
        return Optional.of(Ineligibility.MEMORY_FULL);
    }

    /** Returns the need of a request, computed once for all endpoints that are checked in a row. */
    private TokenNeed needOf(EligibilityRequest request, long capacityTokens) {
        if (!lastRequest.equals(Optional.of(request))) {
            lastRequest = Optional.of(request);
            lastNeed = request.prompt().tokenNeed(request.model());
            long averagedTokens = Math.min(lastNeed.totalTokens(), capacityTokens / MAX_AVERAGED_PART);
            meanRequestTokens += SMOOTHING * (averagedTokens - meanRequestTokens);
        }
        return lastNeed;
    }
}
