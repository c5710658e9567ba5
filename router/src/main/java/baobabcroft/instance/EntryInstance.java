package baobabcroft.instance;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.common.Scheduler;
import baobabcroft.directory.EndpointDirectory;
import baobabcroft.directory.EndpointEntry;
import baobabcroft.external.PolledKeyValueStore;
import baobabcroft.external.Versioned;
import baobabcroft.front.EndpointConnections;
import baobabcroft.front.FrontServer;
import baobabcroft.front.StatusServer;
import baobabcroft.load.PeerLoads;
import baobabcroft.log.BoundedAppender;
import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import baobabcroft.metrics.RouterMetrics;
import baobabcroft.notice.NoticeExchange;
import baobabcroft.relay.CallerExchange;
import baobabcroft.relay.CallerRequest;
import baobabcroft.relay.ConfidenceCascade;
import baobabcroft.relay.EndpointChooser;
import baobabcroft.relay.EndpointLoads;
import baobabcroft.relay.RelayServices;
import baobabcroft.relay.RelayedRequest;
import baobabcroft.relay.RequestDialect;
import baobabcroft.retry.RetryBudget;
import baobabcroft.rollout.DomainRolloutCounts;
import baobabcroft.rollout.FleetRollouts;
import baobabcroft.rollout.RolloutStatusWriter;
import baobabcroft.routing.CallerLimits;
import baobabcroft.routing.RoutingTable;
import baobabcroft.routing.RoutingTableHolder;
import com.google.common.collect.ImmutableMap;
import com.google.common.net.HostAndPort;
import io.netty.channel.EventLoopGroup;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** One entry instance. All of it runs on one event loop. */
@SuppressWarnings("FutureReturnValueIgnored") // A failed write or bind closes its channel, which is handled.
public final class EntryInstance {
    /** Time for the balancer to notice that the instance is not ready, in milliseconds: two questions and a margin. */
    private static final long BALANCER_NOTICE_MILLIS = 2_700;
    /** Margin before SIGKILL, in milliseconds. */
    private static final long KILL_MARGIN_MILLIS = 700;

    private static final long DRAIN_POLL_MILLIS = 50;
    /** Shortest pause in which changes in the store are gathered, in milliseconds. Bounds on them are seconds. */
    private static final long MIN_WATCH_PAUSE_MILLIS = 350;
    /** Longest such pause, in milliseconds: a fraction of the bounds on the spread of a change. */
    private static final long MAX_WATCH_PAUSE_MILLIS = 900;
    /** Pause for each instance, in milliseconds: a change wakes all of them, and the store bears so many calls. */
    private static final long WATCH_PAUSE_MILLIS_PER_INSTANCE = 25;
    /** Time between looks at what is due, in milliseconds: a fraction of the shortest bound that they serve. */
    private static final long TICK_MILLIS = 250;
    /** Share of the fleet's ratio of repeated sends that one instance uses. */
    private static final double RETRY_RATIO_SHARE = 0.7;
    /**
     * Repeated sends that an instance may save up for a service in a fleet of any size. They are earned by its own
     * requests before, of which the contract counts the last two windows; only the one at its start is not.
     */
    private static final double MIN_SAVED_RETRIES = 6;
    /** Share of the fleet's repeated sends beyond the ratio that all instances together may save up. */
    private static final double RETRY_SLACK_SHARE = 0.7;

    private EntrySettings settings;
    private final Scheduler scheduler;
    private final LongSupplier nowMillis = EntryInstance::steadyMillis;
    private final RoutingTableHolder routing = new RoutingTableHolder();
    private final EndpointDirectory directory = new EndpointDirectory();
    private final Map<String, RetryBudget> budgets = new HashMap<>();
    private final EndpointConnections connections;
    private final PeerLoads othersLoads;
    private final EndpointLoads loads;
    private final DomainRolloutCounts trials = new DomainRolloutCounts();
    private final EndpointLedger endpoints;
    private final SharedKeys sharedKeys;
    private final FleetRollouts rollouts;
    private final SharedCrashes crashes;
    private final RelayServices services;
    private final EventLoopGroup loop;
    private final RouterMetrics metrics = RouterMetrics.create();
    private final EventLog log = EventLog.of(EntryInstance.class);
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private Optional<NoticeExchange> exchange = Optional.empty();
    private FrontServer front;
    private long storeSeenAtMillis;
    private boolean presenceWritten;
    private boolean endpointsKnown;
    private boolean stopping;

    private EntryInstance(
            EntrySettings settings,
            RequestDialect dialect,
            PolledKeyValueStore store,
            RolloutStatusWriter announcer,
            EventLoopGroup loop) {
        this.settings = checkNotNull(settings);
        this.loop = checkNotNull(loop);
        this.scheduler = Scheduler.over(loop.next());
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create();
        this.connections = new EndpointConnections(loop.next(), dialect::isAnswerTo, request -> !request.repeatable());
        this.othersLoads = PeerLoads.create(nowMillis);
        this.loads = EndpointLoads.create(nowMillis, othersLoads, this::loadChanged);
        this.endpoints = new EndpointLedger(directory, scheduler, nowMillis, this::endpointGone);
        this.sharedKeys = new SharedKeys(settings.instance(), store, announcer, trials);
        this.rollouts = new FleetRollouts(
                sharedKeys,
                nowMillis,
                System::currentTimeMillis,
                random,
                settings.bounds().exposureShare(),
                this::instances);
        this.crashes = new SharedCrashes(scheduler, nowMillis, connections::probe, sharedKeys::writeCrashes);
        this.services = new RelayServices(
                nowMillis,
                scheduler,
                random,
                dialect,
                routing,
                directory,
                loads,
                new EndpointChooser(settings.failureDomain(), settings.regions(), loads, random),
                ConfidenceCascade.withDynamicThreshold(() -> this.settings.keepFromPercent()),
                this::budgetOf,
                rollouts,
                crashes,
                connections,
                new RelayRecorder(metrics, this::listAgeMillis, othersLoads::millisSinceLastUpdate));
    }

    /**
     * Returns an instance that does not listen yet.
     *
     * @param settings its settings
     * @param dialect the words of its wire
     * @param store what instances share
     * @param announcer tells operators of roll-outs
     * @param loop one thread that runs all of it
     * @return the instance
     */
    public static EntryInstance create(
            EntrySettings settings,
            RequestDialect dialect,
            PolledKeyValueStore store,
            RolloutStatusWriter announcer,
            EventLoopGroup loop) {
        return new EntryInstance(settings, dialect, store, announcer, loop);
    }

    /** Listens. The instance is ready once it knows configuration and endpoints. */
    public void listen() {
        StatusServer.start(loop, settings.readiness(), ImmutableMap.of("/readyz", this::readiness));
        StatusServer.start(loop, settings.metrics(), ImmutableMap.of("/metrics", this::metricsPage));
        registerGauges();
        front = FrontServer.start(loop, settings.callers(), this::limits, this::relay);
        loop.execute(this::tick);
        exchange = Optional.of(NoticeExchange.start(
                loop.next(),
                settings.instance(),
                settings.failureDomain(),
                settings.peers(),
                new FleetKnowledge(loads, othersLoads, trials, rollouts)));
        log.log(LogEvent.STARTED, settings.instance(), settings.callers(), settings.readiness(), settings.peers());
    }

    /**
     * Takes a configuration read from the operators; an older one than the present is ignored.
     *
     * @param table the configuration
     */
    public void configured(RoutingTable table) {
        if (routing.updateIfNewer(table)) {
            log.log(LogEvent.CONFIG_APPLIED, table.version(), "", "operators", "store");
        }
    }

    /**
     * Returns the endpoints' ledger, to be kept in step with the platform's list.
     *
     * @return the ledger
     */
    public EndpointLedger endpoints() {
        return endpoints;
    }

    /**
     * Returns the roll-outs, to be told of operators' orders.
     *
     * @return the roll-outs
     */
    public FleetRollouts rollouts() {
        return rollouts;
    }

    /**
     * Takes a key that is not the platform's; other products' keys are ignored.
     *
     * @param entry the key
     */
    public void shared(Versioned entry) {
        if (entry.key().startsWith(SharedKeys.PREFIX)) {
            sharedKeys.seen(entry, rollouts, crashes, this::peerSeen);
        }
    }

    /** The store has answered: what is known is as old as this. */
    public void storeSeen() {
        storeSeenAtMillis = nowMillis.getAsLong();
        if (!presenceWritten) {
            presenceWritten = true;
            sharedKeys.writePresence(new InstancePlace(settings.peers().toString(), settings.failureDomain()));
        }
    }

    /**
     * Returns how long changes in the store are gathered before the next look: longer in a large fleet, where each
     * change costs a call of every instance.
     *
     * @return the pause, in milliseconds
     */
    public long watchPauseMillis() {
        return watchPauseMillis(instances());
    }

    /** Returns the pause in a fleet of so many instances, in milliseconds. */
    static long watchPauseMillis(int instances) {
        long scaledMillis = WATCH_PAUSE_MILLIS_PER_INSTANCE * instances;
        return Math.max(MIN_WATCH_PAUSE_MILLIS, Math.min(MAX_WATCH_PAUSE_MILLIS, scaledMillis));
    }

    private void peerSeen(String name, InstancePlace place) {
        exchange.ifPresent(
                peers -> peers.putPeer(name, HostAndPort.fromString(place.address()), place.failureDomain()));
    }

    private void loadChanged() {
        exchange.ifPresent(NoticeExchange::scheduleNotice);
    }

    private void tick() {
        rollouts.tick();
        scheduler.schedule(TICK_MILLIS, this::tick);
    }

    /** The list of endpoints was read once. */
    public void endpointsRead() {
        endpointsKnown = true;
    }

    /**
     * Takes over what has changed in the settings and can change while the instance runs.
     *
     * @param read the settings as they are now
     */
    public void reconfigure(EntrySettings read) {
        EntrySettings changed = settings.withChangeable(read);
        if (!changed.equals(read)) {
            log.log(LogEvent.SETTINGS_CHANGED, "others", "kept until the next start");
        }
        if (!changed.equals(settings)) {
            settings = changed;
            log.log(
                    LogEvent.SETTINGS_CHANGED,
                    "cascade and bounds",
                    changed.keepFromPercent() + " " + changed.bounds());
        }
    }

    /** Begins a planned stop: not ready, requests under way are finished, then {@link #whenStopped} completes. */
    public void stop() {
        loop.execute(() -> {
            if (stopping) {
                return;
            }
            stopping = true;
            log.log(LogEvent.DRAIN_STARTED, front.busyConnections());
            front.drain();
            long killAtMillis = nowMillis.getAsLong() + settings.bounds().graceMillis() - KILL_MARGIN_MILLIS;
            scheduler.schedule(BALANCER_NOTICE_MILLIS, () -> awaitIdle(killAtMillis));
        });
    }

    private void awaitIdle(long killAtMillis) {
        front.closeIdle();
        if (front.busyConnections() == 0 || nowMillis.getAsLong() >= killAtMillis) {
            log.log(LogEvent.STOPPED, settings.instance(), front.busyConnections());
            stopped.complete(null);
        } else {
            scheduler.schedule(DRAIN_POLL_MILLIS, () -> awaitIdle(killAtMillis));
        }
    }

    /**
     * Returns when the planned stop has ended.
     *
     * @return a future that completes on the event loop
     */
    public CompletableFuture<Void> whenStopped() {
        return stopped;
    }

    private static long steadyMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private RelayedRequest relay(CallerRequest request, CallerExchange caller) {
        return RelayedRequest.start(services, request, caller);
    }

    private CallerLimits limits() {
        return routing.current().map(RoutingTable::limits).orElse(CallerLimits.DEFAULT);
    }

    private StatusServer.Page readiness() {
        boolean ready = routing.current().isPresent() && endpointsKnown && !stopping;
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
        metrics.gauge("endpoints.list_age_millis", this::listAgeMillis);
        metrics.gauge("callers.busy_connections", () -> front.busyConnections());
        metrics.gauge("loads.age_millis", othersLoads::millisSinceLastUpdate);
        metrics.gauge("log.dropped_lines", BoundedAppender::droppedLines);
        metrics.gauge("log.left_out_lines", BoundedAppender::suppressedLines);
    }

    private long listAgeMillis() {
        return nowMillis.getAsLong() - storeSeenAtMillis;
    }

    private RetryBudget budgetOf(String service) {
        return budgets.computeIfAbsent(
                service,
                unused -> RetryBudget.withDynamicLimits(
                        () -> RETRY_RATIO_SHARE * settings.bounds().retryRatio(), this::savedRetries));
    }

    private double savedRetries() {
        return savedRetries(settings.bounds().retrySlack(), instances());
    }

    /** Returns how many repeated sends one of so many instances may save up for a service. */
    static double savedRetries(double retrySlack, int instances) {
        return Math.max(MIN_SAVED_RETRIES, RETRY_SLACK_SHARE * retrySlack / instances);
    }

    /** Returns how many instances there are, as far as is known. */
    private int instances() {
        return exchange.map(NoticeExchange::instanceCount).orElse(1);
    }

    private void endpointGone(EndpointEntry endpoint) {
        connections.closeIdle(endpoint);
        loads.removeIfIdle(endpoint.id());
    }
}
