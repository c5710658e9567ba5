package baobabcroft.instance;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.common.Scheduler;
import baobabcroft.directory.EndpointDirectory;
import baobabcroft.directory.EndpointEntry;
import baobabcroft.directory.EvacuatedDomains;
import baobabcroft.fairness.AccountUses;
import baobabcroft.fairness.FairAdmission;
import baobabcroft.feed.FeedClient;
import baobabcroft.feed.FeedServer;
import baobabcroft.front.EndpointConnectionPool;
import baobabcroft.front.FrontServer;
import baobabcroft.front.StatusServer;
import baobabcroft.limit.FleetView;
import baobabcroft.load.PeerLoads;
import baobabcroft.log.BoundedAppender;
import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import baobabcroft.memory.MemoryBudget;
import baobabcroft.memory.MemoryUse;
import baobabcroft.metrics.RouterMetrics;
import baobabcroft.notice.NoticeExchange;
import baobabcroft.relay.CallerExchange;
import baobabcroft.relay.CallerRequest;
import baobabcroft.relay.ConfidenceCascade;
import baobabcroft.relay.EndpointAvailability;
import baobabcroft.relay.EndpointChooser;
import baobabcroft.relay.EndpointEligibility;
import baobabcroft.relay.EndpointLoads;
import baobabcroft.relay.MemoryRule;
import baobabcroft.relay.PauseQueue;
import baobabcroft.relay.PlannedStop;
import baobabcroft.relay.RelayServices;
import baobabcroft.relay.RelayedRequest;
import baobabcroft.relay.RequestDialect;
import baobabcroft.relay.ServiceUseReader;
import baobabcroft.replica.StoreCalls;
import baobabcroft.replica.StoreReplica;
import baobabcroft.retry.RetryBudget;
import baobabcroft.rollout.DomainRolloutCounts;
import baobabcroft.rollout.FleetRollouts;
import baobabcroft.routing.CallerLimits;
import baobabcroft.routing.RoutingTable;
import baobabcroft.routing.RoutingTableHolder;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Sets;
import com.google.common.net.HostAndPort;
import io.netty.channel.EventLoopGroup;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.stream.Stream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.core.source64.XoRoShiRo128PlusPlus;

/** Composition root of one instance of the relay path. Everything in it runs on one event loop. */
@SuppressWarnings("FutureReturnValueIgnored") // A failed write or bind closes the channel; the close is handled.
public final class RelayInstance {
    /** Time in which the load balancer notices that the instance is not ready: two probes and a margin. */
    private static final long BALANCER_NOTICE_MILLIS = 2_700;
    /** Time before SIGKILL at which requests that are still open are ended, for their answers to be written. */
    private static final long ANSWER_MARGIN_MILLIS = 700;
    /** Time before SIGKILL at which the process ends although answers are still being written. */
    private static final long EXIT_MARGIN_MILLIS = 200;

    private static final long DRAIN_POLL_MILLIS = 50;
    /** Interval of the roll-outs' periodic work: a fraction of the shortest bound that depends on it. */
    private static final long TICK_MILLIS = 250;
    /**
     * Period at which streams are read, notices are sent and periodic work is done. An idle instance and one with a few
     * streams spend most of their processor time on waking up.
     */
    private static final long WAKE_PERIOD_MILLIS = 50;
    /** Share of the contract's ratio of repeated sends that an instance uses. */
    private static final double RETRY_RATIO_SHARE = 0.7;
    /**
     * Lower limit of the repeated sends that an instance may save up for a service, in a fleet of any size. They are
     * earned by its own earlier requests, of which the contract counts the last two windows; only the one that it
     * starts with is not.
     */
    private static final double MIN_RETRY_TOKEN_CAPACITY = 6;
    /** Share of the contract's retry slack that all instances together may save up. */
    private static final double RETRY_SLACK_SHARE = 0.7;

    private InstanceSettings settings;
    private final Scheduler scheduler;
    /** Runs periodic work and other work that can wait a little. */
    private final Scheduler aligned;

    private final LongSupplier nowMillis = RelayInstance::monotonicMillis;
    private final MemoryBudget memory = MemoryBudget.ofHeap(Runtime.getRuntime().maxMemory());
    private final RoutingTableHolder routing = new RoutingTableHolder();
    private final EndpointDirectory directory = new EndpointDirectory();
    private final EvacuatedDomains evacuated = new EvacuatedDomains();
    private final PlacementRules placement = new PlacementRules(directory, evacuated);
    private final Map<String, RetryBudget> retryBudgets = new HashMap<>();
    private final EndpointConnectionPool connections;
    private final UniformRandomProvider random =
            new XoRoShiRo128PlusPlus(ThreadLocalRandom.current().nextLong(), System.nanoTime());
    private final FleetMembers members;
    private final InstanceForwarding forwarding;
    private final PeerLoads peerLoads;
    private final EndpointLoads loads;
    private final EndpointAvailability availability;
    private final EndpointEligibility eligibility;
    private final AccountUses accountUses = AccountUses.create(nowMillis);
    private final FairAdmission fairness;
    private final DomainRolloutCounts rolloutCounts = new DomainRolloutCounts();
    private final InstancePace pace;
    private final StoreContents storeContents;
    private final StoreReplica store;
    private final SharedStoreRecords sharedRecords;
    private final FleetRollouts rollouts;
    private final CrashTracker crashTracker;
    private final PlannedStop plannedStop;
    private final RelayServices services;
    private final EventLoopGroup loop;
    private final RouterMetrics metrics = RouterMetrics.create();
    private final EventLog log = EventLog.of(RelayInstance.class);
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private Optional<NoticeExchange> noticeExchange = Optional.empty();
    private FrontServer front;
    private boolean stopping;

    private RelayInstance(
            InstanceSettings settings,
            RequestDialect dialect,
            StoreDialect storeDialect,
            StoreCalls storeCalls,
            EventLoopGroup loop) {
        this.settings = checkNotNull(settings);
        this.loop = checkNotNull(loop);
        this.scheduler = Scheduler.onExecutor(loop.next());
        this.aligned = Scheduler.aligned(scheduler, nowMillis, WAKE_PERIOD_MILLIS);
        this.members = new FleetMembers(
                settings.instance(), scheduler, settings.bounds().contactMillis());
        this.forwarding = createForwarding(dialect);
        this.connections = forwarding.endpointConnections();
        this.peerLoads = PeerLoads.create(nowMillis);
        this.loads = EndpointLoads.create(nowMillis, peerLoads, this::onLoadChanged);
        this.availability = createAvailability();
        this.pace = createPace();
        this.sharedRecords = new SharedStoreRecords(settings.instance(), rolloutCounts);
        this.rollouts = new FleetRollouts(
                sharedRecords,
                nowMillis,
                System::currentTimeMillis,
                random,
                settings.bounds().exposureShare(),
                this::instanceCount);
        this.crashTracker = new CrashTracker(
                scheduler, nowMillis, random::nextDouble, forwarding::checkFailed, sharedRecords::publishCrashes);
        EndpointListUpdater endpointList = new EndpointListUpdater(
                directory, scheduler, nowMillis, settings.bounds().contactMillis(), this::onEndpointRemoved);
        this.storeContents = new StoreContents(
                storeDialect, routing, endpointList, createEvacuations(), rollouts, sharedRecords, nowMillis);
        storeContents.notify(pace.pace());
        this.store = StoreReplica.create(
                settings.instance(),
                settings.linkMegabitsPerSecond(),
                storeCalls,
                new FeedClient(loop.next(), settings.instance()),
                aligned,
                nowMillis,
                random::nextDouble,
                storeContents);
        sharedRecords.connect(
                store,
                storeDialect.rolloutStatusWriter(store),
                new SharedStoreRecords.Receivers(rollouts, crashTracker, new Peers()));
        this.plannedStop = PlannedStop.create(nowMillis, scheduler);
        this.eligibility = EndpointEligibility.of(placement.rules(settings.regions(), availability), admissionRules());
        this.fairness = createFairness();
        this.services = createServices(dialect);
    }

    private InstanceForwarding createForwarding(RequestDialect dialect) {
        return new InstanceForwarding(
                settings,
                loop,
                scheduler,
                aligned,
                nowMillis,
                random,
                dialect,
                placement::reachableEndpoints,
                metrics,
                this::onIsolationChanged,
                this::onConnected);
    }

    private EndpointAvailability createAvailability() {
        return EndpointAvailability.create(
                nowMillis,
                random::nextDouble,
                () -> this.settings.maxEndpointPauseMillis(),
                fleetView(),
                loads::openRequests,
                new AvailabilityRecorder(metrics));
    }

    private InstancePace createPace() {
        return new InstancePace(
                settings,
                () -> this.settings.bounds(),
                members::names,
                directory,
                routing,
                peerLoads,
                loads,
                metrics,
                nowMillis,
                random::nextDouble);
    }

    private FairAdmission createFairness() {
        return FairAdmission.create(
                nowMillis,
                accountUses,
                new ServiceUseReader(directory, routing, eligibility, loads),
                new AccountDirectory(routing),
                new FairnessRecorder(metrics, nowMillis));
    }

    private FleetView fleetView() {
        return new FleetView(settings.instance(), members::names);
    }

    private ImmutableList<EndpointEligibility.Rule> admissionRules() {
        return ImmutableList.of(
                (endpoint, request) -> availability.unavailability(endpoint),
                pace.limit(availability),
                new MemoryRule(
                        loads, peerLoads, otherDomains(), nowMillis, metrics.counter("capacity.memory_full")::inc));
    }

    /** Returns the number of other failure domains in the settings; 0 if these list none. */
    private int otherDomains() {
        return Sets.difference(settings.regions().keySet(), Set.of(settings.failureDomain()))
                .size();
    }

    private RelayServices createServices(RequestDialect dialect) {
        return new RelayServices(
                nowMillis,
                scheduler,
                random,
                dialect,
                routing,
                directory,
                loads,
                memory,
                availability,
                eligibility,
                fairness,
                PauseQueue.create(fleetView(), random::nextDouble),
                new EndpointChooser(settings.failureDomain(), settings.regions(), loads, this::receiveNotices, random),
                ConfidenceCascade.withDynamicThreshold(() -> this.settings.keepFromPercent()),
                this::retryBudget,
                rollouts,
                crashTracker,
                connections,
                plannedStop,
                pace.observe(new RelayRecorder(metrics, store::ageMillis, peerLoads::millisSinceLastUpdate)),
                forwarding.route());
    }

    /**
     * Returns an instance that does not listen yet.
     *
     * @param settings settings of the instance
     * @param dialect headers and statuses of the platform
     * @param storeDialect keys that the platform defines in its store
     * @param storeCalls calls of the store that the instances share
     * @param loop event loop group with one thread, which runs the whole instance
     * @return the instance, to be started by {@link #listen}
     */
    public static RelayInstance create(
            InstanceSettings settings,
            RequestDialect dialect,
            StoreDialect storeDialect,
            StoreCalls storeCalls,
            EventLoopGroup loop) {
        return new RelayInstance(settings, dialect, storeDialect, storeCalls, loop);
    }

    /** Starts listening. The instance becomes ready when it has a configuration and has read the endpoint list. */
    public void listen() {
        StatusServer.start(loop, settings.readiness(), ImmutableMap.of("/readyz", this::readiness));
        StatusServer.start(loop, settings.metrics(), ImmutableMap.of("/metrics", this::metricsPage));
        registerGauges();
        front = FrontServer.start(
                loop, settings.callers(), settings.maxDescriptors(), this::limits, memory, nowMillis, this::relay);
        forwarding.listen(loop, this::limits, services, store::ageMillis, () -> stopping);
        loop.execute(this::tick);
        noticeExchange = Optional.of(NoticeExchange.start(
                loop.next(),
                aligned,
                settings.instance(),
                settings.failureDomain(),
                settings.peers(),
                new NoticeStateAdapter(
                        loads,
                        peerLoads,
                        rolloutCounts,
                        rollouts,
                        availability,
                        nowMillis,
                        forwarding.isolation(),
                        fairness,
                        accountUses)));
        FeedServer.start(loop, settings.peers(), store.feed());
        loop.execute(this::startStore);
        log.log(LogEvent.STARTED, settings.instance(), settings.callers(), settings.readiness(), settings.peers());
    }

    private void startStore() {
        sharedRecords.publishLocation(new InstanceLocation(
                settings.peers().toString(),
                settings.failureDomain(),
                settings.forwarding().map(HostAndPort::toString),
                settings.linkMegabitsPerSecond()));
        store.start();
    }

    /** Keeps the addresses of the other instances, as published in the store. */
    private final class Peers implements SharedStoreRecords.PeerLocations {
        @Override
        public void onLocation(String peer, InstanceLocation location) {
            members.add(peer);
            pace.putPeer(peer, location.failureDomain());
            forwarding.putPeer(peer, location);
            HostAndPort address = HostAndPort.fromString(location.address());
            noticeExchange.ifPresent(notices -> notices.putPeer(peer, address, location.failureDomain()));
            if (location.failureDomain().equals(settings.failureDomain())) {
                store.putMember(peer, location.linkMegabitsPerSecond(), address);
            }
        }

        @Override
        public void onLocationDeleted(String peer) {
            members.remove(peer);
            forwarding.removePeer(peer);
            noticeExchange.ifPresent(notices -> notices.removePeer(peer));
            store.removeMember(peer);
        }
    }

    private void receiveNotices() {
        noticeExchange.ifPresent(NoticeExchange::receive);
    }

    private void onIsolationChanged(boolean isolated) {
        loads.setIsolated(isolated);
        onLoadChanged();
    }

    private EvacuationOrders createEvacuations() {
        return new EvacuationOrders(
                evacuated,
                scheduler,
                nowMillis,
                () -> store.ageMillis(),
                settings.bounds().contactMillis(),
                () -> services.pauseQueue().onPlacementChanged(),
                pace.pace()::onDomainReturned);
    }

    private void onConnected(String domain, double connectMillis) {
        services.endpointChooser().onConnected(domain, connectMillis);
    }

    private void onLoadChanged() {
        noticeExchange.ifPresent(NoticeExchange::scheduleNotice);
    }

    private void tick() {
        rollouts.tick();
        pace.tick();
        aligned.schedule(TICK_MILLIS, this::tick);
    }

    /**
     * Applies changed settings that can change while the instance runs. Changes of other settings are logged only.
     *
     * @param read the settings as read from the changed file
     */
    public void reconfigure(InstanceSettings read) {
        InstanceSettings changed = settings.withReloadableOf(read);
        if (!changed.equals(read)) {
            log.log(LogEvent.SETTINGS_CHANGED, "others", "applied at the next start");
        }
        if (!changed.equals(settings)) {
            settings = changed;
            log.log(
                    LogEvent.SETTINGS_CHANGED,
                    "cascade and bounds",
                    changed.keepFromPercent() + " " + changed.bounds());
        }
    }

    /**
     * Begins a graceful stop: the readiness probe fails, requests that are not expected to end within the grace period
     * are refused, open ones are completed or end with an error status, answers are written, then {@link #whenStopped}
     * completes. May be called on any thread.
     */
    public void stop() {
        loop.execute(() -> {
            if (stopping) {
                return;
            }
            stopping = true;
            log.log(LogEvent.DRAIN_STARTED, busyConnections());
            servers().forEach(FrontServer::drain);
            long graceMillis = settings.bounds().graceMillis();
            long requestsMillis = Math.max(0, graceMillis - ANSWER_MARGIN_MILLIS);
            plannedStop.begin(requestsMillis);
            long exitAtMillis = nowMillis.getAsLong() + graceMillis - EXIT_MARGIN_MILLIS;
            scheduler.schedule(Math.min(BALANCER_NOTICE_MILLIS, requestsMillis), () -> {
                servers().forEach(FrontServer::stopAccepting);
                awaitIdle(exitAtMillis);
            });
        });
    }

    private List<FrontServer> servers() {
        return Stream.concat(Stream.of(front), forwarding.server().stream()).toList();
    }

    private int busyConnections() {
        return servers().stream().mapToInt(FrontServer::busyConnections).sum();
    }

    private void awaitIdle(long exitAtMillis) {
        servers().forEach(FrontServer::closeIdle);
        if (busyConnections() == 0 || nowMillis.getAsLong() >= exitAtMillis) {
            log.log(LogEvent.STOPPED, settings.instance(), busyConnections());
            stopped.complete(null);
        } else {
            scheduler.schedule(DRAIN_POLL_MILLIS, () -> awaitIdle(exitAtMillis));
        }
    }

    /**
     * Returns a future that completes when a graceful stop has ended.
     *
     * @return a future that completes on the event loop
     */
    public CompletableFuture<Void> whenStopped() {
        return stopped;
    }

    private static long monotonicMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private RelayedRequest relay(CallerRequest request, CallerExchange caller) {
        return RelayedRequest.start(services, request, caller);
    }

    private CallerLimits limits() {
        return routing.current().map(RoutingTable::limits).orElse(CallerLimits.DEFAULT);
    }

    private StatusServer.Page readiness() {
        boolean ready =
                routing.current().isPresent() && storeContents.isComplete() && !stopping && forwarding.canServe();
        return ready ? new StatusServer.Page(200, "ready") : new StatusServer.Page(503, "not ready");
    }

    private StatusServer.Page metricsPage() {
        return new StatusServer.Page(200, metrics.expose());
    }

    private void registerGauges() {
        metrics.gauge(
                "config.version",
                () -> routing.current().map(RoutingTable::version).orElse(0L));
        metrics.gauge("endpoints.listed", directory::size);
        placement.registerGauges(metrics, loads::openRequests);
        metrics.gauge("endpoints.isolated", () -> forwarding.isIsolated() ? 1 : 0);
        metrics.gauge("endpoints.list_age_millis", store::ageMillis);
        metrics.gauge("store.era", store::era);
        metrics.gauge("store.following", () -> store.isFollowing() ? 1 : 0);
        metrics.gauge("store.followers", store::followerCount);
        metrics.gauge("callers.busy_connections", () -> front.busyConnections());
        metrics.gauge("callers.open_connections", () -> front.openConnections());
        metrics.gauge("callers.refused_without_progress", () -> front.reclaimedRequests());
        metrics.gauge("callers.excess_connections", () -> front.excessConnections());
        metrics.gauge("loads.age_millis", peerLoads::millisSinceLastUpdate);
        metrics.gauge("memory.capacity_bytes", memory::capacityBytes);
        metrics.gauge("memory.awaited_bytes", memory::waitingBytes);
        for (MemoryUse use : MemoryUse.values()) {
            metrics.gauge("memory.used_bytes." + use.metricName(), () -> memory.usedBytes(use));
            metrics.gauge("memory.refusals." + use.metricName(), () -> memory.refusals(use));
        }
        metrics.gauge("log.dropped_lines", BoundedAppender::droppedLines);
        metrics.gauge("log.left_out_lines", BoundedAppender::suppressedLines);
    }

    private RetryBudget retryBudget(String service) {
        return retryBudgets.computeIfAbsent(
                service,
                unused -> RetryBudget.withDynamicLimits(
                        () -> RETRY_RATIO_SHARE * settings.bounds().retryRatio(), this::retryTokenCapacity));
    }

    private double retryTokenCapacity() {
        return retryTokenCapacity(settings.bounds().retrySlack(), instanceCount());
    }

    /** Returns how many repeated sends an instance may save up for a service in a fleet of the given size. */
    static double retryTokenCapacity(double retrySlack, int instances) {
        return Math.max(MIN_RETRY_TOKEN_CAPACITY, RETRY_SLACK_SHARE * retrySlack / instances);
    }

    /** Returns the number of known instances, including this one. */
    private int instanceCount() {
        return noticeExchange.map(NoticeExchange::instanceCount).orElse(1);
    }

    private void onEndpointRemoved(EndpointEntry endpoint) {
        connections.closeIdle(endpoint);
        loads.removeIfIdle(endpoint.id());
    }
}
