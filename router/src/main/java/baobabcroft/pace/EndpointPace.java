package baobabcroft.pace;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.directory.EndpointDirectory;
import baobabcroft.directory.EndpointEntry;
import baobabcroft.relay.SendFailure;
import baobabcroft.relay.SendGate;
import baobabcroft.routing.WarmUp;
import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * Keeps endpoints that are or may be cold at the rate that their service states, over all instances together, or, if
 * it states none, at a rate that grows from a small one ({@link LearnedPace}).
 *
 * <p>Few instances hold a share of an endpoint's pace ({@link PacePlan}); the others send it nothing while it is paced.
 * An instance that has just started holds no share until the others can have learned of it and it of them. An endpoint
 * whose connections failed, or whose failure domain returns from an evacuation, may have become cold without this
 * instance knowing; it is paced until an entry has been received that was written since. Not thread-safe.
 */
public final class EndpointPace implements SendGate {
    /** Starts of endpoints that are remembered; the least recently listed one is forgotten first. */
    private static final int MAX_STARTS = 4_000;
    /** Time in which a value that has been written to the store reaches all instances in contact, in milliseconds. */
    private static final long STORE_DELAY_MILLIS = 2_200;
    /** Time from reading the store to holding shares, in milliseconds: for this instance's own key, and a margin. */
    private static final long SETTLING_MILLIS = 5_000;
    /** Addition to the time that an entry states, in milliseconds, as entries state the time of another clock. */
    private static final long COLD_MARGIN_MILLIS = 100;
    /** Failure rate as seen by any other instance from which an endpoint may be about to start again: one failure. */
    private static final double DOUBTFUL_FAILURE_RATE = 0.15;
    /** Endpoints of a service from which failures are checked for being those of this instance's links. */
    private static final int MIN_MASS_FAILURES = 3;
    /** Time after which doubts about an endpoint that is no longer listed are dropped, in milliseconds. */
    private static final long UNLISTED_DOUBT_MILLIS = 60_000;

    private final PaceFleet fleet;
    private final EndpointDirectory directory;
    private final LongSupplier nowMillis;
    private final DoubleSupplier random;
    private final Function<String, Optional<WarmUp>> warmUpOfService;
    private final EndpointEvidence evidence;
    private final LearnedPaces learned;
    private final Bound bound;
    private final Listener listener;
    private final Map<HostAndPort, PacedEndpoint> paced = new HashMap<>();
    private final Set<String> massFailures = new HashSet<>();
    private final Map<HostAndPort, Long> starts = new LinkedHashMap<>(16, 0.75F, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<HostAndPort, Long> eldest) {
            return size() > MAX_STARTS;
        }
    };

    private boolean contentsRead;
    private long contentsReadAtMillis;

    /** The number of requests that a cold endpoint may get in any second, over all instances. */
    @FunctionalInterface
    public interface Bound {
        /**
         * Returns the bound for an endpoint.
         *
         * @param statedPerSecond the rate that its service states, in requests a second
         * @return requests in any second; positive
         */
        double perSecond(double statedPerSecond);
    }

    /** Notified of the paces of endpoints. */
    public interface Listener {
        /**
         * Called when an endpoint is paced from now on.
         *
         * @param endpoint the endpoint
         * @param reason why it is paced
         * @param ratePerSecond planned rate of all instances together, in requests a second
         * @param holders number of instances that hold a share
         * @param holdsShare whether this instance holds a share
         */
        void onStarted(
                EndpointEntry endpoint, PaceReason reason, double ratePerSecond, int holders, boolean holdsShare);

        /**
         * Called when an endpoint is no longer paced.
         *
         * @param endpoint the endpoint
         * @param reason why it was paced
         * @param pacedMillis for how long, in milliseconds
         * @param sent requests that this instance sent to it meanwhile
         */
        void onEnded(EndpointEntry endpoint, PaceReason reason, long pacedMillis, int sent);
    }

    /**
     * Creates an object without paced endpoints.
     *
     * @param fleet the instances that share paces
     * @param directory the listed endpoints
     * @param nowMillis monotonic clock, in milliseconds
     * @param random source of numbers in [0, 1) that spread the first requests of the holders
     * @param warmUpOfService returns what a service states of cold endpoints, by its name
     * @param evidence what instances have seen of endpoints of late
     * @param bound the bound on the requests of a cold endpoint
     * @param listener notified of the paces of endpoints
     */
    public EndpointPace(
            PaceFleet fleet,
            EndpointDirectory directory,
            LongSupplier nowMillis,
            DoubleSupplier random,
            Function<String, Optional<WarmUp>> warmUpOfService,
            EndpointEvidence evidence,
            Bound bound,
            Listener listener) {
        this.fleet = checkNotNull(fleet);
        this.directory = checkNotNull(directory);
        this.nowMillis = checkNotNull(nowMillis);
        this.random = checkNotNull(random);
        this.warmUpOfService = checkNotNull(warmUpOfService);
        this.evidence = checkNotNull(evidence);
        this.learned = new LearnedPaces(fleet, directory, evidence, nowMillis);
        this.bound = checkNotNull(bound);
        this.listener = checkNotNull(listener);
    }

    /** Called when the complete contents of the store were read. Endpoints that are listed later have just started. */
    public void onContentsRead() {
        if (!contentsRead) {
            contentsRead = true;
            contentsReadAtMillis = nowMillis.getAsLong();
        }
    }

    /**
     * Called after an entry of an endpoint was received.
     *
     * @param entry the entry; ignored if the directory knows another start of the endpoint, which is newer
     * @param remainingMillis how much longer the endpoint says that it is cold, in milliseconds; 0 if it is not
     */
    public void onEntry(EndpointEntry entry, long remainingMillis) {
        checkArgument(remainingMillis >= 0, "negative remainingMillis: %s", remainingMillis);
        if (!directory.find(entry.id()).map(entry::isSameIncarnation).orElse(false)) {
            return;
        }
        long now = nowMillis.getAsLong();
        Long knownStart = starts.put(entry.address(), entry.startedAtEpochMillis());
        boolean started = contentsRead && (knownStart == null || knownStart != entry.startedAtEpochMillis());
        Optional<WarmUp> warmUp = warmUpOfService.apply(entry.service());
        if (warmUp.isEmpty()) {
            if (started) {
                learn(entry, PaceReason.STARTED);
            }
            return;
        }
        Optional<PacedEndpoint> known = Optional.ofNullable(paced.get(entry.address()));
        known.ifPresent(state -> {
            state.setEntry(entry);
            state.onEntry(now);
        });
        if (remainingMillis > 0) {
            stateOf(entry, PaceReason.STATED_COLD)
                    .setCold(
                            started ? PaceReason.STARTED : PaceReason.STATED_COLD,
                            now + remainingMillis + COLD_MARGIN_MILLIS);
        } else if (started) {
            stateOf(entry, PaceReason.STARTED)
                    .setCold(PaceReason.STARTED, now + warmUp.get().durationMillis());
        }
    }

    /**
     * Called when an attempt at an endpoint has failed.
     *
     * @param endpoint the endpoint
     * @param failure the name of the failure, as lower-case words joined by underscores
     */
    public void onAttemptFailed(EndpointEntry endpoint, String failure) {
        if (isConnectionFailure(failure)) {
            doubtByFailure(endpoint);
        }
        if (isNamed(SendFailure.CONNECTION_REFUSED, failure)
                && directory.find(endpoint.id()).isPresent()
                && warmUpOfService.apply(endpoint.service()).isEmpty()) {
            learn(endpoint, PaceReason.FAILED);
        }
    }

    /** Lets the pace of an endpoint grow from a small one, as its service states nothing. */
    private void learn(EndpointEntry endpoint, PaceReason reason) {
        learned.start(endpoint);
        if (learned.ratePerSecond(endpoint).isPresent()) {
            stateOf(endpoint, reason);
        }
    }

    private static boolean isConnectionFailure(String failure) {
        return List.of(SendFailure.CONNECTION_REFUSED, SendFailure.CONNECT_TIMEOUT, SendFailure.CONNECTION_LOST)
                .stream()
                .anyMatch(kind -> isNamed(kind, failure));
    }

    private static boolean isNamed(SendFailure kind, String failure) {
        return kind.name().toLowerCase(Locale.ROOT).equals(failure);
    }

    private void doubtByFailure(EndpointEntry endpoint) {
        boolean isListed = directory
                .find(endpoint.id())
                .filter(listed -> listed.service().equals(endpoint.service()))
                .isPresent();
        if (isListed && warmUpOfService.apply(endpoint.service()).isPresent()) {
            long now = nowMillis.getAsLong();
            stateOf(endpoint, PaceReason.FAILED).doubt(PaceReason.FAILED, now, now + STORE_DELAY_MILLIS);
            updateMassFailures(endpoint.service());
        }
    }

    /**
     * Called when the evacuation of a failure domain has ended.
     *
     * @param failureDomain name of the failure domain
     */
    public void onDomainReturned(String failureDomain) {
        long now = nowMillis.getAsLong();
        for (EndpointEntry endpoint : directory.accepting()) {
            Optional<WarmUp> warmUp = warmUpOfService.apply(endpoint.service());
            if (!endpoint.failureDomain().equals(failureDomain)) {
                continue;
            }
            if (warmUp.isEmpty()) {
                learn(endpoint, PaceReason.RETURNED);
            } else {
                long pacedMillis = Math.max(STORE_DELAY_MILLIS, warmUp.get().durationMillis());
                stateOf(endpoint, PaceReason.RETURNED).doubt(PaceReason.RETURNED, now, now + pacedMillis);
            }
        }
    }

    /** Takes in failures that other instances have reported, and ends paces; to be called a few times a second. */
    public void tick() {
        for (EndpointEntry endpoint : directory.accepting()) {
            if (warmUpOfService.apply(endpoint.service()).isPresent()
                    && evidence.reportedFailureRate(endpoint) >= DOUBTFUL_FAILURE_RATE) {
                doubtByFailure(endpoint);
            }
        }
        if (paced.isEmpty()) {
            return;
        }
        learned.tick();
        long now = nowMillis.getAsLong();
        for (PacedEndpoint state : ImmutableList.copyOf(paced.values())) {
            boolean isListed = directory.find(state.entry().id()).isPresent();
            boolean outdated = !isListed && now - state.doubtfulSinceMillis() > UNLISTED_DOUBT_MILLIS;
            boolean learning = learned.ratePerSecond(state.entry()).isPresent();
            if (!state.isCold(now) && !learning && (!state.isDoubtful() || outdated)) {
                paced.remove(state.entry().address());
                listener.onEnded(state.entry(), state.reason(), now - state.pacedSinceMillis(), state.sent());
            }
        }
        ImmutableList.copyOf(massFailures).forEach(this::updateMassFailures);
    }

    /**
     * Ignores failures as long as most endpoints of a service fail: then it is this instance's links, or all have
     * ended, and their new starts are listed.
     */
    private void updateMassFailures(String service) {
        long failing = paced.values().stream()
                .filter(state -> state.entry().service().equals(service) && state.isDoubtfulByFailures())
                .count();
        if (failing >= MIN_MASS_FAILURES
                && 2 * failing > directory.accepting(service).size()) {
            massFailures.add(service);
        } else {
            massFailures.remove(service);
        }
    }

    private PacedEndpoint stateOf(EndpointEntry entry, PaceReason reason) {
        PacedEndpoint known = paced.get(entry.address());
        if (known != null) {
            return known;
        }
        PacedEndpoint state = new PacedEndpoint(fleet, entry, reason, nowMillis.getAsLong(), random.getAsDouble());
        paced.put(entry.address(), state);
        updatePlan(state);
        PacePlan plan = state.plan();
        listener.onStarted(entry, reason, plan.ratePerSecond(), plan.holders(), mayHold() && state.holdsShare());
        return state;
    }

    private void updatePlan(PacedEndpoint state) {
        OptionalDouble stated = statedRate(state.entry());
        (stated.isPresent() ? stated : learned.ratePerSecond(state.entry()))
                .ifPresent(perSecond -> state.plan(perSecond, bound.perSecond(perSecond)));
    }

    private OptionalDouble statedRate(EndpointEntry endpoint) {
        Optional<WarmUp> warmUp = warmUpOfService.apply(endpoint.service());
        return warmUp.isPresent() ? OptionalDouble.of(warmUp.get().requestsPerSecond()) : OptionalDouble.empty();
    }

    private boolean mayHold() {
        return contentsRead && nowMillis.getAsLong() - contentsReadAtMillis >= SETTLING_MILLIS;
    }

    /** Returns the state of an endpoint with an up-to-date plan; empty if it is not paced. */
    private Optional<PacedEndpoint> pacedState(EndpointEntry endpoint) {
        if (paced.isEmpty()) {
            return Optional.empty();
        }
        PacedEndpoint state = paced.get(endpoint.address());
        if (state == null || !isPaced(state)) {
            return Optional.empty();
        }
        updatePlan(state);
        return Optional.of(state);
    }

    private boolean isPaced(PacedEndpoint state) {
        boolean ignored = state.isDoubtfulByFailures()
                && massFailures.contains(state.entry().service());
        boolean maybeCold = state.isCold(nowMillis.getAsLong()) || (state.isDoubtful() && !ignored);
        return statedRate(state.entry()).isPresent()
                ? maybeCold
                : learned.ratePerSecond(state.entry()).isPresent();
    }

    /**
     * Returns whether an endpoint must not be chosen by this instance now.
     *
     * @param endpoint the endpoint
     * @return true if it is paced, and this instance holds no share or has sent its last request too recently
     */
    public boolean isHeldBack(EndpointEntry endpoint) {
        return pacedState(endpoint)
                .map(state -> !mayHold() || !state.hasRoom(nowMillis.getAsLong()))
                .orElse(false);
    }

    /**
     * Returns the number of endpoints that are paced.
     *
     * @return the number, as this instance knows
     */
    public int pacedEndpoints() {
        return (int) paced.values().stream().filter(this::isPaced).count();
    }

    @Override
    public Pass enter(EndpointEntry endpoint) {
        learned.onRequest(endpoint.service());
        Optional<PacedEndpoint> state = pacedState(endpoint);
        state.ifPresent(entered -> entered.addPending(nowMillis.getAsLong()));
        return new PacePass(endpoint, state);
    }

    /** The pass of one request. What holds when it is written decides, as its connection may take long to open. */
    private final class PacePass implements Pass {
        private final EndpointEntry endpoint;
        private final Optional<PacedEndpoint> entered;

        private PacePass(EndpointEntry endpoint, Optional<PacedEndpoint> entered) {
            this.endpoint = endpoint;
            this.entered = entered;
        }

        @Override
        public boolean confirm() {
            Optional<PacedEndpoint> state = pacedState(endpoint);
            boolean allowed = state.map(now -> mayHold() && now.maySend(nowMillis.getAsLong()))
                    .orElse(true);
            if (allowed) {
                release();
                state.ifPresent(now -> now.onSent(nowMillis.getAsLong()));
            }
            return allowed;
        }

        @Override
        public void release() {
            entered.ifPresent(PacedEndpoint::removePending);
        }
    }

    @Override
    public ImmutableList<String> holders(EndpointEntry endpoint) {
        return pacedState(endpoint).map(PacedEndpoint::holders).orElse(ImmutableList.of());
    }
}
