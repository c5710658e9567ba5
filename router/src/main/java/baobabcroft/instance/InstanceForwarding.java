package baobabcroft.instance;

import baobabcroft.common.Scheduler;
import baobabcroft.directory.EndpointEntry;
import baobabcroft.front.ConnectionObserver;
import baobabcroft.front.EndpointConnectionPool;
import baobabcroft.front.FrontServer;
import baobabcroft.front.UnexpectedBytes;
import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import baobabcroft.metrics.RouterMetrics;
import baobabcroft.reach.EndpointReachability;
import baobabcroft.relay.ForwardedRequests;
import baobabcroft.relay.PeerForwarding;
import baobabcroft.relay.RelayServices;
import baobabcroft.relay.RequestDialect;
import baobabcroft.routing.CallerLimits;
import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import com.google.common.primitives.Ints;
import io.netty.channel.EventLoopGroup;
import java.util.Locale;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.ObjDoubleConsumer;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * How an instance that is cut off from all endpoints serves its callers by way of others, and serves callers of others.
 * Not thread-safe.
 */
final class InstanceForwarding {
    /** Forwarded requests at a time; each needs about as much memory as a caller's own. */
    private static final int MAX_FORWARDED_REQUESTS = 256;
    /** Greatest size of a forwarded request, as a multiple of that of a caller's request. */
    private static final int FORWARDED_SIZE_FACTOR = 2;

    private static final ConnectionObserver UNOBSERVED = new ConnectionObserver() {
        @Override
        public void onOpened(String failureDomain, double connectMillis) {}

        @Override
        public void onFailed() {}

        @Override
        public void onUnexpectedBytes(UnexpectedBytes bytes) {}
    };

    private final InstanceSettings settings;
    private final LongSupplier nowMillis;
    private final RouterMetrics metrics;
    private final EndpointConnectionPool endpointConnections;
    private final EndpointReachability reachability;
    private final FleetIsolation isolation;
    private final ForwardingPeers peers;
    private final PeerForwarding route;
    private final Consumer<Boolean> onChange;
    private final ObjDoubleConsumer<String> onConnected;
    private final EventLog log = EventLog.of(InstanceForwarding.class);
    private Optional<FrontServer> server = Optional.empty();

    /**
     * Creates the parts of an instance that does not listen yet.
     *
     * @param settings settings of the instance
     * @param loop event loop group with one thread
     * @param scheduler runs timers on the event loop
     * @param aligned runs timers that can wait a little
     * @param nowMillis monotonic clock, in milliseconds
     * @param random source of random choices
     * @param dialect headers and statuses of the platform
     * @param endpoints supplies the endpoints that may get requests
     * @param metrics counts what happens
     * @param onChange called with whether this instance is isolated, when that has changed
     * @param onConnected called with the failure domain of an endpoint and how long a connect took, in milliseconds
     */
    InstanceForwarding(
            InstanceSettings settings,
            EventLoopGroup loop,
            Scheduler scheduler,
            Scheduler aligned,
            LongSupplier nowMillis,
            UniformRandomProvider random,
            RequestDialect dialect,
            Supplier<ImmutableList<EndpointEntry>> endpoints,
            RouterMetrics metrics,
            Consumer<Boolean> onChange,
            ObjDoubleConsumer<String> onConnected) {
        this.settings = settings;
        this.nowMillis = nowMillis;
        this.metrics = metrics;
        this.onChange = onChange;
        this.onConnected = onConnected;
        this.endpointConnections = new EndpointConnectionPool(
                loop.next(), aligned, dialect::isResponseTo, request -> !request.repeatable(), new EndpointObserver());
        this.reachability = EndpointReachability.create(
                endpoints,
                endpointConnections::probe,
                scheduler,
                nowMillis,
                random::nextDouble,
                new ReachabilityListener());
        this.isolation = new FleetIsolation(settings.instance(), reachability::isIsolated, nowMillis);
        this.peers = new ForwardingPeers(isolation::isIsolated);
        this.route = PeerForwarding.create(
                () -> !reachability.drawsDirect(),
                reachability::isIsolated,
                peers::connected,
                settings.failureDomain(),
                settings.regions(),
                nowMillis,
                random,
                new EndpointConnectionPool(
                        loop.next(),
                        aligned,
                        PeerForwarding.dialect(dialect)::isResponseTo,
                        request -> !request.repeatable(),
                        UNOBSERVED));
    }

    /**
     * Takes requests of other instances, if the settings name an address.
     *
     * @param viewAgeMillis age of the view of the store: all changes before that are known, in milliseconds
     */
    void listen(
            EventLoopGroup loop,
            Supplier<CallerLimits> limits,
            RelayServices services,
            LongSupplier viewAgeMillis,
            BooleanSupplier stopping) {
        long recentMillis = settings.bounds().contactMillis() / 2;
        ForwardedRequests requests = ForwardedRequests.create(
                services, () -> viewAgeMillis.getAsLong() <= recentMillis, () -> rejectionReason(stopping));
        server = settings.forwarding()
                .map(address -> FrontServer.start(
                        loop,
                        address,
                        settings.maxDescriptors(),
                        () -> forwardedLimits(limits.get()),
                        services.memory(),
                        nowMillis,
                        requests::serve));
    }

    /**
     * Returns the limits on requests of other instances. These have held the caller to the limits already, but add
     * headers, and may know a newer configuration with higher limits.
     */
    private static CallerLimits forwardedLimits(CallerLimits limits) {
        return new CallerLimits(
                Ints.saturatedCast((long) FORWARDED_SIZE_FACTOR * limits.maxHeaderBytes()),
                Ints.saturatedCast((long) FORWARDED_SIZE_FACTOR * limits.maxBodyBytes()),
                limits.headerTimeoutMillis(),
                limits.idleTimeoutMillis());
    }

    private Optional<String> rejectionReason(BooleanSupplier stopping) {
        Optional<String> reason = Optional.empty();
        if (stopping.getAsBoolean()) {
            reason = Optional.of("stopping");
        } else if (reachability.isIsolated()) {
            reason = Optional.of("isolated");
        } else if (server.isPresent() && server.get().busyConnections() > MAX_FORWARDED_REQUESTS) {
            reason = Optional.of("busy");
        }
        metrics.count(reason.map(text -> "forwarded.rejected_" + text).orElse("forwarded.taken"));
        return reason;
    }

    /** Passes on whether endpoints accept connections. */
    private final class EndpointObserver implements ConnectionObserver {
        @Override
        public void onOpened(String failureDomain, double connectMillis) {
            reachability.onConnected();
            onConnected.accept(failureDomain, connectMillis);
        }

        @Override
        public void onFailed() {
            reachability.onFailure();
        }

        @Override
        public void onUnexpectedBytes(UnexpectedBytes bytes) {
            String kind = bytes.kind().name().toLowerCase(Locale.ROOT);
            metrics.count("endpoint_connections.unexpected." + kind);
            log.log(
                    LogEvent.ENDPOINT_SENT_UNEXPECTED_BYTES,
                    bytes.connectionKey(),
                    kind,
                    bytes.requestId(),
                    bytes.requests(),
                    bytes.detail());
        }
    }

    private final class ReachabilityListener implements EndpointReachability.Listener {
        @Override
        public void onIsolated(int triedEndpoints) {
            metrics.count("endpoints.unreachable");
            log.log(
                    LogEvent.ENDPOINTS_UNREACHABLE,
                    triedEndpoints,
                    peers.connected().size());
            onChange.accept(true);
            endpointConnections.abandonConnects();
        }

        @Override
        public void onReachable(long isolatedMillis) {
            log.log(LogEvent.ENDPOINTS_REACHABLE, isolatedMillis);
            onChange.accept(false);
        }
    }

    /** Finds out whether an endpoint has failed, and not this instance's links. */
    void checkFailed(EndpointEntry endpoint, Consumer<Boolean> callback) {
        reachability.checkFailed(endpoint, callback);
    }

    EndpointConnectionPool endpointConnections() {
        return endpointConnections;
    }

    FleetIsolation isolation() {
        return isolation;
    }

    /** Returns the way of requests by other instances. */
    PeerForwarding route() {
        return route;
    }

    boolean isIsolated() {
        return reachability.isIsolated();
    }

    /** Returns whether requests can be served: by this instance, or by another one. */
    boolean canServe() {
        return !reachability.isIsolated() || !peers.connected().isEmpty();
    }

    /** Returns the server of forwarded requests, if there is one. */
    Optional<FrontServer> server() {
        return server;
    }

    /** Adds an instance, or changes its address; one that takes no forwarded requests is left out. */
    void putPeer(String name, InstanceLocation location) {
        Optional<HostAndPort> address = location.forwardingAddress().map(HostAndPort::fromString);
        if (address.isPresent() && !name.equals(settings.instance())) {
            peers.put(name, address.get(), location.failureDomain());
        } else {
            peers.remove(name);
        }
    }

    void removePeer(String name) {
        peers.remove(name);
    }
}
