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

/** Looks at an instance's state at intervals and logs what changed. Runs on one task at a time. */
final class StateLog {
    private static final long INTERVAL_MILLIS = 500;

    private final EventLog log = EventLog.of(StateLog.class);
    private final ConfigNode node;
    private final ClaimService claims;
    private final BillService bills;
    private final EndpointPool pool;
    private final PeerNames peers;
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
            PeerNames peers,
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

    /** Something that holds or not. */
    private final class Condition {
        private boolean holds = true;
        private long changedNanos;

        /** Runs one of the two on a change; the second is told how long the condition did not hold. */
        void observe(boolean nowHolds, Runnable lost, LongConsumer regainedAfterMillis) {
            if (nowHolds == holds) {
                return;
            }
            long nowNanos = ticker.read();
            if (nowHolds) {
                regainedAfterMillis.accept(TimeUnit.NANOSECONDS.toMillis(nowNanos - changedNanos));
            } else {
                lost.run();
            }
            holds = nowHolds;
            changedNanos = nowNanos;
        }
    }

    /** Starts looking at intervals. */
    void start() {
        look();
    }

    private void look() {
        node.current().ifPresent(this::lookAtAuthority);
        store.observe(
                claims.isAvailable(),
                () -> log.log(LogEvent.STORE_UNAVAILABLE, "calls fail"),
                millis -> log.log(LogEvent.STORE_RECOVERED, millis));
        billsStored.observe(
                bills.pendingCount() == 0 || claims.isAvailable(),
                () -> log.log(LogEvent.BILLS_BUFFERED, bills.pendingCount()),
                millis -> log.log(LogEvent.BUFFERED_BILLS_WRITTEN, millis));
        lookAtPeers();
        lookAtEndpoints();
        scheduler.schedule(INTERVAL_MILLIS, this::look);
    }

    private void lookAtAuthority(AppliedConfig current) {
        authority.observe(
                node.mayTakeNewWork(ticker.read()),
                () -> log.log(LogEvent.AUTHORITY_LOST, current.number()),
                millis -> log.log(LogEvent.AUTHORITY_REGAINED, current.number(), millis));
    }

    private void lookAtPeers() {
        Set<String> alive = ImmutableSet.copyOf(peers.alive());
        Sets.difference(alive, alivePeers).forEach(peer -> log.log(LogEvent.PEER_REACHABLE, peer));
        Sets.difference(alivePeers, alive).forEach(peer -> log.log(LogEvent.PEER_UNREACHABLE, peer));
        alivePeers = alive;
    }

    private void lookAtEndpoints() {
        Set<String> out = pool.statuses().stream()
                .filter(status ->
                        status.health() == EndpointHealth.EJECTED || status.health() == EndpointHealth.PROBING)
                .map(EndpointStatus::name)
                .collect(Collectors.toUnmodifiableSet());
        Sets.difference(out, ejected).forEach(name -> log.log(LogEvent.ENDPOINT_EJECTED, name, "ejected"));
        Sets.difference(ejected, out).forEach(name -> log.log(LogEvent.ENDPOINT_RECOVERED, name));
        ejected = out;
    }
}
