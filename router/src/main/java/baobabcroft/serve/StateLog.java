package baobabcroft.serve;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.balance.EndpointHealth;
import baobabcroft.balance.EndpointPool;
import baobabcroft.balance.EndpointStatus;
import baobabcroft.billing.BillService;
import baobabcroft.claim.ClaimService;
import baobabcroft.common.Scheduler;
import baobabcroft.config.AppliedConfig;
import baobabcroft.config.ConfigNode;
import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import com.google.common.base.Ticker;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.stream.Collectors;

/**
 * Checks the state of an instance at intervals and logs changes.
 *
 * <p>Not thread-safe; each check schedules the next one, so that only one runs at a time.
 */
final class StateLog {
    private static final long INTERVAL_MILLIS = 500;

    private final EventLog log = EventLog.of(StateLog.class);
    private final ConfigNode node;
    private final ClaimService claims;
    private final BillService bills;
    private final EndpointPool pool;
    private final LivePeers peers;
    private final Scheduler scheduler;
    private final Ticker ticker;
    private final Condition authority = new Condition();
    private final Condition store = new Condition();
    private final Condition billsStored = new Condition();
    private Set<String> alivePeers = ImmutableSet.of();
    private Set<String> ejected = ImmutableSet.of();

    StateLog(
            ConfigNode node,
            ClaimService claims,
            BillService bills,
            EndpointPool pool,
            LivePeers peers,
            Scheduler scheduler,
            Ticker ticker) {
        this.node = checkNotNull(node);
        this.claims = checkNotNull(claims);
        this.bills = checkNotNull(bills);
        this.pool = checkNotNull(pool);
        this.peers = checkNotNull(peers);
        this.scheduler = checkNotNull(scheduler);
        this.ticker = checkNotNull(ticker);
    }

    /** A boolean state whose changes are logged; it is true at the start. */
    private final class Condition {
        private boolean value = true;
        private long changedNanos;

        /**
         * Compares the state with the last one observed and runs a callback if it changed: {@code lost} when it became
         * false, {@code regainedAfterMillis} with the time for which it was false when it became true again.
         */
        void observe(boolean newValue, Runnable lost, LongConsumer regainedAfterMillis) {
            if (newValue == value) {
                return;
            }
            long nowNanos = ticker.read();
            if (newValue) {
                regainedAfterMillis.accept(TimeUnit.NANOSECONDS.toMillis(nowNanos - changedNanos));
            } else {
                lost.run();
            }
            value = newValue;
            changedNanos = nowNanos;
        }
    }

    /** Starts the periodic checks. */
    void start() {
        check();
    }

    private void check() {
        node.current().ifPresent(this::checkAuthority);
        store.observe(
                claims.isAvailable(),
                () -> log.log(LogEvent.STORE_UNAVAILABLE, "calls fail"),
                millis -> log.log(LogEvent.STORE_RECOVERED, millis));
        billsStored.observe(
                bills.pendingCount() == 0 || claims.isAvailable(),
                () -> log.log(LogEvent.BILLS_BUFFERED, bills.pendingCount()),
                millis -> log.log(LogEvent.BUFFERED_BILLS_WRITTEN, millis));
        checkPeers();
        checkEndpoints();
        scheduler.schedule(INTERVAL_MILLIS, this::check);
    }

    private void checkAuthority(AppliedConfig current) {
        authority.observe(
                node.mayAcceptNewWork(ticker.read()),
                () -> log.log(LogEvent.AUTHORITY_LOST, current.number()),
                millis -> log.log(LogEvent.AUTHORITY_REGAINED, current.number(), millis));
    }

    private void checkPeers() {
        Set<String> alive = ImmutableSet.copyOf(peers.alive());
        Sets.difference(alive, alivePeers).forEach(peer -> log.log(LogEvent.PEER_REACHABLE, peer));
        Sets.difference(alivePeers, alive).forEach(peer -> log.log(LogEvent.PEER_UNREACHABLE, peer));
        alivePeers = alive;
    }

    private void checkEndpoints() {
        Set<String> nowEjected = pool.statuses().stream()
                .filter(status ->
                        status.health() == EndpointHealth.EJECTED || status.health() == EndpointHealth.PROBING)
                .map(EndpointStatus::name)
                .collect(Collectors.toUnmodifiableSet());
        Sets.difference(nowEjected, ejected).forEach(name -> log.log(LogEvent.ENDPOINT_EJECTED, name, "ejected"));
        Sets.difference(ejected, nowEjected).forEach(name -> log.log(LogEvent.ENDPOINT_RECOVERED, name));
        ejected = nowEjected;
    }
}
