package baobabcroft.serve;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.admin.AdminKeys;
import baobabcroft.admin.AdminRoutes;
import baobabcroft.admin.DrainReport;
import baobabcroft.balance.BreakerSettings;
import baobabcroft.balance.EndpointPickers;
import baobabcroft.balance.EndpointPool;
import baobabcroft.billing.BillHolder;
import baobabcroft.billing.BillService;
import baobabcroft.billing.BillingContext;
import baobabcroft.billing.BillingSettings;
import baobabcroft.cascade.CascadePolicies;
import baobabcroft.cascade.QualityLedger;
import baobabcroft.cascade.RatingBudget;
import baobabcroft.claim.ClaimService;
import baobabcroft.claim.ClaimSettings;
import baobabcroft.common.Scheduler;
import baobabcroft.config.ConfigContext;
import baobabcroft.config.ConfigNode;
import baobabcroft.config.ConfigTimings;
import baobabcroft.endpoint.EndpointClient;
import baobabcroft.endpoint.PekkoEndpointClient;
import baobabcroft.external.HttpLiveList;
import baobabcroft.external.HttpRatingService;
import baobabcroft.external.KeyValueStore;
import baobabcroft.external.RatingService;
import baobabcroft.external.etcd.EtcdStore;
import baobabcroft.gateway.CascadeEvaluator;
import baobabcroft.gateway.GatewayDependencies;
import baobabcroft.gateway.GatewayServer;
import baobabcroft.gateway.InFlightLimiter;
import baobabcroft.gateway.RoutingExplainer;
import baobabcroft.limit.AccountLimits;
import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import baobabcroft.membership.Members;
import baobabcroft.metrics.RouterMetrics;
import baobabcroft.peer.NettyPeerTransport;
import baobabcroft.peer.PeerSettings;
import baobabcroft.poison.CrashLedger;
import baobabcroft.rollout.EvidenceLedger;
import baobabcroft.rollout.StoppedVersions;
import baobabcroft.rules.RulesParser;
import baobabcroft.session.SessionService;
import baobabcroft.session.SessionSettings;
import baobabcroft.settings.Settings;
import baobabcroft.slot.SlotLog;
import baobabcroft.slot.SlotLogContext;
import baobabcroft.slot.SlotLogSettings;
import com.google.common.base.Ticker;
import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.time.InstantSource;
import java.util.HexFormat;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apache.commons.rng.simple.ThreadLocalRandomSource;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;

/**
 * An instance of the router: creates, starts and stops its components.
 *
 * <p>A planned stop first fails the readiness probe, then refuses new requests, waits for open requests, closes the
 * listeners, and waits until claims and bills are stored. Thread-safe.
 */
public final class InstanceServer {
    private static final long CRASH_RETENTION_MILLIS = TimeUnit.HOURS.toMillis(1);
    private static final int MAX_CRASH_REQUESTS = 10_000;
    private static final long MAX_LIVE_LIST_LAG_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final int RANDOM_ID_BYTES = 16;
    private static final long STORED_CHECK_INTERVAL_MILLIS = 50;
    private static final double RATINGS_PER_SECOND = 1;
    private static final double RATING_BURST = 20;

    private final EventLog log = EventLog.of(InstanceServer.class);
    private final Settings settings;
    private final SecureRandom secureRandom = new SecureRandom();
    private final Ticker ticker = Ticker.systemTicker();
    private final InstantSource wallClock = InstantSource.system();
    private final InstanceThreads threads = new InstanceThreads();
    private final Scheduler scheduler = threads.scheduler();
    private final RouterMetrics metrics = RouterMetrics.create();
    private final ActorSystem<Void> system;
    private final EndpointClient endpointClient;
    private final KeyValueStore store;
    private final Members members;
    private final EndpointPool pool;
    private final LiveListPoller liveList;
    private final NettyPeerTransport transport;
    private final ConfigNode node;
    private final ClaimService claims;
    private final BillService bills;
    private final LivePeers peers;
    private final EvidenceLedger evidence;
    private final StoppedVersions stops = StoppedVersions.create();
    private final VersionWatch versionWatch;
    private final InFlightLimiter inFlightLimiter;
    private final GatewayServer gateway;
    private final AdminService admin;
    private final AtomicBoolean draining = new AtomicBoolean();
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private HttpBinding callersBinding;
    private HttpBinding adminBinding;

    private InstanceServer(Settings settings) {
        this.settings = checkNotNull(settings);
        long incarnation = secureRandom.nextLong() >>> 1;
        String self = settings.instance().name();
        String incarnationName = self + "#" + Long.toHexString(incarnation);
        this.system = ActorSystem.create(Behaviors.empty(), "baobabcroft");
        this.endpointClient = PekkoEndpointClient.create(system, scheduler);
        this.store = createStore();
        this.members = Members.create(MAX_LIVE_LIST_LAG_NANOS, ticker.read());
        this.pool = EndpointPool.create(
                settings.instance().failureDomain(),
                BreakerSettings.defaults().withMaxPauseMillis(settings.limits().maxEndpointPauseMillis()),
                ticker,
                RandomSource.XO_RO_SHI_RO_128_PP.create(secureRandom.nextLong()));
        this.liveList = new LiveListPoller(
                HttpLiveList.create(
                        settings.platform().liveListUrl(), settings.platform().timeoutMillis()),
                members,
                pool,
                scheduler,
                ticker,
                settings.timing().liveListPollMillis());
        this.transport = startTransport(self);
        this.node = ConfigNode.start(configContext(self, incarnation));
        SlotLog slotLog = slotLog();
        this.claims = ClaimService.create(
                slotLog, incarnationName, ClaimSettings.defaults(), scheduler, wallClock, secureRandom::nextLong);
        this.peers = new LivePeers(self, settings.instance().failureDomain(), members, node, liveList::failureDomainOf);
        PeerBillHolder billHolder = new PeerBillHolder(transport, peers);
        this.bills = billService(incarnationName, billHolder);
        billHolder.serve(bills);
        this.evidence = EvidenceLedger.create(incarnationName);
        this.versionWatch = new VersionWatch(evidence, stops, node, metrics, scheduler, wallClock);
        this.inFlightLimiter = InFlightLimiter.create(settings.limits().maxConcurrentRequests());
        GatewayDependencies dependencies = gatewayDependencies(incarnationName, peers, slotLog);
        this.gateway = GatewayServer.create(dependencies);
        StatusReporter reporter = new StatusReporter(
                settings.instance(),
                node,
                members,
                pool,
                inFlightLimiter,
                bills::pendingCount,
                ticker,
                settings.timing().authorityMillis());
        this.admin = new AdminService(
                node,
                store,
                claims,
                RoutingExplainer.create(dependencies),
                reporter::report,
                this::startDrain,
                this::randomId);
    }

    private KeyValueStore createStore() {
        return EtcdStore.create(
                settings.platform().storeUrls(), settings.platform().timeoutMillis(), scheduler, () -> randomProvider()
                        .nextDouble());
    }

    private NettyPeerTransport startTransport(String self) {
        HostAndPort address = settings.listen().peers();
        return NettyPeerTransport.start(
                self,
                new InetSocketAddress(InetAddresses.forString(address.getHost()), address.getPort()),
                settings.peers().sharedKey().reveal().getBytes(StandardCharsets.UTF_8),
                PeerSettings.defaults(),
                liveList::addressOf,
                secureRandom);
    }

    private ConfigContext configContext(String self, long incarnation) {
        // The store is read four times within the lifetime of authority.
        ConfigTimings timings = new ConfigTimings(
                settings.timing().authorityMillis(),
                settings.timing().heartbeatMillis(),
                settings.timing().authorityMillis() / 4);
        return new ConfigContext(
                self,
                incarnation,
                store,
                transport,
                members,
                scheduler,
                ticker,
                wallClock,
                timings,
                RulesParser::parse);
    }

    private SlotLog slotLog() {
        SlotLogContext context = new SlotLogContext(
                store, scheduler, Runnable::run, ticker, wallClock, secureRandom::nextLong, metrics.registry());
        return SlotLog.create(context, SlotLogSettings.defaults());
    }

    private BillService billService(String incarnationName, BillHolder holder) {
        BillingContext context = new BillingContext(
                store, scheduler, Runnable::run, ticker, () -> randomProvider().nextDouble(), metrics.registry());
        return BillService.create(incarnationName, context, BillingSettings.defaults(), holder);
    }

    private GatewayDependencies gatewayDependencies(String incarnationName, LivePeers peers, SlotLog slotLog) {
        CrashLedger crashes = CrashLedger.create(CRASH_RETENTION_MILLIS, MAX_CRASH_REQUESTS);
        AccountLimits limits = AccountLimits.create(incarnationName);
        QualityLedger quality = QualityLedger.create(incarnationName);
        PeerStateExchange peerState = new PeerStateExchange(
                incarnationName,
                transport,
                peers,
                new PeerStateExchange.Shared(crashes, evidence, stops, versionWatch::applyRemoteStop, quality, limits),
                scheduler,
                wallClock);
        peerState.start();
        return new GatewayDependencies(
                new ConfigRules(node, ticker),
                evidence::recordAnswer,
                versionWatch::choose,
                cascades(quality),
                new PinnedSessions(SessionService.create(slotLog, SessionSettings.defaults(), wallClock)),
                new BillingChargeRecorder(bills, wallClock),
                claims,
                new ClaimantPresence(incarnationName, node.presenceTable(), ticker),
                limits,
                pool,
                EndpointPickers.tiered(),
                endpointClient,
                crashes,
                peerState::broadcastCrash,
                inFlightLimiter,
                metrics,
                new GatewayDependencies.RequestLimits(
                        settings.limits().maxBodyBytes(),
                        settings.limits().bodyReadTimeoutMillis(),
                        settings.timing().defaultDeadlineMillis()),
                InstanceServer::randomProvider,
                this::randomId,
                scheduler,
                ticker,
                wallClock,
                system);
    }

    private CascadeEvaluator cascades(QualityLedger quality) {
        Optional<RatingService> ratings = settings.platform()
                .ratingUrl()
                .map(url -> HttpRatingService.create(url, settings.platform().timeoutMillis()));
        return new CascadeEvaluator(
                CascadePolicies.qualityPrice(),
                quality,
                RatingBudget.create(RATINGS_PER_SECOND, RATING_BURST, ticker),
                ratings,
                evidence::recordRating,
                InstanceServer::randomProvider,
                metrics);
    }

    private static UniformRandomProvider randomProvider() {
        return ThreadLocalRandomSource.current(RandomSource.XO_RO_SHI_RO_128_PP);
    }

    private String randomId() {
        byte[] bytes = new byte[RANDOM_ID_BYTES];
        secureRandom.nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }

    /**
     * Starts an instance.
     *
     * @param settings identity, addresses, limits and timing of the instance
     * @return a stage with the instance once it is listening; it fails if an address cannot be bound
     */
    public static CompletionStage<InstanceServer> start(Settings settings) {
        return new InstanceServer(settings).bind();
    }

    private CompletionStage<InstanceServer> bind() {
        node.addListener(applied -> pool.applyRules(applied.rules()));
        node.addListener(applied -> log.log(
                LogEvent.CONFIG_APPLIED,
                applied.number(),
                applied.document().changeId(),
                applied.document().author(),
                ""));
        liveList.start();
        versionWatch.start();
        new StateLog(node, claims, bills, pool, peers, scheduler, ticker).start();
        new LoadPoller(node, pool, endpointClient, settings.instance().region(), scheduler, ticker, system).start();
        AdminServer adminServer =
                new AdminServer(AdminRoutes.create(admin, AdminKeys.of(settings.adminKeys())), metrics, system);
        int maxHeaderBytes = settings.limits().maxHeaderBytes();
        return HttpBinding.bind(settings.listen().callers(), maxHeaderBytes, gateway::handle, system, scheduler)
                .thenCompose(bound -> {
                    callersBinding = bound;
                    return HttpBinding.bind(
                            settings.listen().admin(), maxHeaderBytes, adminServer::handle, system, scheduler);
                })
                .thenApply(bound -> {
                    adminBinding = bound;
                    log.log(
                            LogEvent.STARTED,
                            settings.instance().name(),
                            callersBinding.address(),
                            adminBinding.address(),
                            transport.listenAddress());
                    return this;
                });
    }

    /**
     * Returns a stage that completes when the instance has stopped.
     *
     * @return the stage; it never fails
     */
    public CompletionStage<Void> whenStopped() {
        return stopped;
    }

    /** Starts a planned stop; repeated calls have no effect. */
    public void stop() {
        startDrain();
    }

    private DrainReport startDrain() {
        if (draining.compareAndSet(false, true)) {
            log.log(LogEvent.DRAIN_STARTED, inFlightLimiter.inFlight());
            inFlightLimiter.announceClose();
            node.setLeaving();
            scheduler.schedule(settings.drain().balancerNoticeMillis(), this::closeLimiter);
        }
        return new DrainReport(inFlightLimiter.inFlight(), settings.drain().drainTimeoutMillis());
    }

    private void closeLimiter() {
        long timeoutMillis = settings.drain().drainTimeoutMillis();
        AtomicBoolean finished = new AtomicBoolean();
        Scheduler.Cancellable timer = scheduler.schedule(timeoutMillis, () -> {
            if (finished.compareAndSet(false, true)) {
                log.log(LogEvent.DRAIN_TIMED_OUT, inFlightLimiter.inFlight());
                stopBindings();
            }
        });
        inFlightLimiter.close().thenRun(() -> {
            if (finished.compareAndSet(false, true)) {
                timer.cancel();
                stopBindings();
            }
        });
    }

    private void stopBindings() {
        long timeoutMillis = settings.drain().drainTimeoutMillis();
        callersBinding
                .stop(timeoutMillis)
                .thenCompose(done -> adminBinding.stop(timeoutMillis))
                .whenComplete((done, failure) -> stopWhenStored(timeoutMillis / STORED_CHECK_INTERVAL_MILLIS));
    }

    /** Stops the components once all claims and bills are stored, or when no checks are left. */
    private void stopWhenStored(long checksLeft) {
        if (checksLeft <= 0 || claims.unsettledCount() + bills.pendingCount() == 0) {
            stopComponents();
            return;
        }
        scheduler.schedule(STORED_CHECK_INTERVAL_MILLIS, () -> stopWhenStored(checksLeft - 1));
    }

    private void stopComponents() {
        liveList.close();
        node.close();
        transport.close();
        store.close();
        log.log(LogEvent.STOPPED, settings.instance().name(), inFlightLimiter.inFlight());
        system.terminate();
        threads.close();
        stopped.complete(null);
    }
}
