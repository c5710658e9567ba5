package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.directory.EndpointEntry;
import baobabcroft.limit.FleetView;
import baobabcroft.load.PeerLoads;
import baobabcroft.routing.AllowedRegions;
import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The way to the endpoints by way of another instance, for requests of callers whose instance is cut off from them. To
 * this instance the others are like endpoints of one service; a request is forwarded once at the most. Not thread-safe.
 */
public final class PeerForwarding {
    /** No way by way of other instances. */
    public static final PeerForwarding NONE =
            new PeerForwarding(() -> false, () -> false, ImmutableList::of, Optional.empty());

    /** Instances that one request is forwarded to, one after the other. */
    private static final int MAX_PEERS = 4;

    private final BooleanSupplier isNeeded;
    private final BooleanSupplier isIsolated;
    private final Supplier<ImmutableList<EndpointEntry>> peers;
    private final Optional<Links> links;

    /** State of the other instances, and the connections to them. */
    private record Links(
            EndpointLoads loads,
            EndpointAvailability availability,
            EndpointChooser chooser,
            RegionRule regions,
            EndpointTransport transport) {}

    private PeerForwarding(
            BooleanSupplier isNeeded,
            BooleanSupplier isIsolated,
            Supplier<ImmutableList<EndpointEntry>> peers,
            Optional<Links> links) {
        this.isNeeded = isNeeded;
        this.isIsolated = isIsolated;
        this.peers = peers;
        this.links = links;
    }

    /**
     * Returns a way by way of other instances.
     *
     * @param isNeeded decides for one request whether it is to be forwarded
     * @param isIsolated whether this instance reaches no endpoint
     * @param peers supplies the other instances that reach the endpoints, as far as is known, nearest or not
     * @param failureDomain failure domain of this instance
     * @param regions region by failure domain
     * @param nowMillis monotonic clock, in milliseconds
     * @param random source of the jitter that breaks ties
     * @param transport sends requests to other instances
     * @return the way
     */
    public static PeerForwarding create(
            BooleanSupplier isNeeded,
            BooleanSupplier isIsolated,
            Supplier<ImmutableList<EndpointEntry>> peers,
            String failureDomain,
            Map<String, String> regions,
            LongSupplier nowMillis,
            UniformRandomProvider random,
            EndpointTransport transport) {
        EndpointLoads loads = EndpointLoads.create(nowMillis, PeerLoads.create(nowMillis), () -> {});
        EndpointAvailability availability = EndpointAvailability.create(
                nowMillis, random::nextDouble, () -> 0, FleetView.alone(), peer -> 0, PeerEvidence.NO_STATEMENTS);
        EndpointChooser chooser = new EndpointChooser(failureDomain, regions, loads, () -> {}, random);
        return new PeerForwarding(
                checkNotNull(isNeeded),
                checkNotNull(isIsolated),
                checkNotNull(peers),
                Optional.of(new Links(loads, availability, chooser, new RegionRule(regions), checkNotNull(transport))));
    }

    /** Decides for one request whether it is to be forwarded, if there is an instance to forward it to. */
    boolean isNeeded() {
        return links.isPresent() && isNeeded.getAsBoolean();
    }

    /** Returns whether this instance reaches no endpoint. */
    boolean isIsolated() {
        return isIsolated.getAsBoolean();
    }

    /**
     * Returns the instance in an allowed region to forward a request to; empty if there is none or the request is sent
     * to an endpoint.
     */
    Optional<EndpointChooser.Choice> choose(AllowedRegions allowed, Set<String> tried) {
        return isNeeded() ? choose(allowed, peers.get(), tried) : Optional.empty();
    }

    /** Returns one of the named instances to forward a request to; empty if there is none in an allowed region. */
    Optional<EndpointChooser.Choice> chooseAmong(AllowedRegions allowed, Set<String> names, Set<String> tried) {
        if (links.isEmpty() || names.isEmpty()) {
            return Optional.empty();
        }
        return choose(
                allowed,
                peers.get().stream().filter(peer -> names.contains(peer.id())).toList(),
                tried);
    }

    private Optional<EndpointChooser.Choice> choose(
            AllowedRegions allowed, Collection<EndpointEntry> peersToChoose, Set<String> tried) {
        List<EndpointEntry> candidates = peersToChoose.stream()
                .filter(peer -> links.get().regions().allows(allowed, peer.failureDomain()))
                .toList();
        long triedPeers =
                candidates.stream().filter(peer -> tried.contains(peer.id())).count();
        return triedPeers >= MAX_PEERS
                ? Optional.empty()
                : links.get().chooser().choose(candidates, tried, Optional.empty(), Optional.empty(), Prompt.NONE);
    }

    /** Forwards a request and returns the attempt in progress. */
    EndpointAttempt start(
            RelayServices services,
            Admission.Admitted admitted,
            EndpointEntry peer,
            EndpointRequest request,
            EndpointAttempt.Owner owner) {
        Links used = links.orElseThrow();
        EndpointLoads.InFlightRequest inFlightRequest =
                used.loads().stateOf(peer).startRequest(Optional.empty(), Prompt.NONE, 0);
        return EndpointAttempt.start(servicesOf(used, services), admitted, peer, inFlightRequest, request, owner);
    }

    /**
     * Returns the dialect of the answers of other instances.
     *
     * @param dialect the dialect of endpoints
     * @return a dialect in which answers that name no request are refusals of the instance
     */
    public static RequestDialect dialect(RequestDialect dialect) {
        return new PeerDialect(checkNotNull(dialect));
    }

    /** Returns services under which an attempt at another instance is no evidence about endpoints or versions. */
    private static RelayServices servicesOf(Links links, RelayServices services) {
        return new RelayServices(
                services.nowMillis(),
                services.scheduler(),
                services.random(),
                dialect(services.dialect()),
                services.routing(),
                services.directory(),
                links.loads(),
                services.memory(),
                links.availability(),
                EndpointEligibility.of(ImmutableList.of(links.regions()), ImmutableList.of()),
                services.fairness(),
                services.pauseQueue(),
                links.chooser(),
                services.modelChooser(),
                services.retryBudgets(),
                PeerEvidence.NO_ROLLOUT,
                PeerEvidence.NO_CRASHES,
                links.transport(),
                services.plannedStop(),
                services.listener(),
                NONE);
    }
}
