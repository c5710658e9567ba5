package baobabcroft.serve;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.balance.EndpointPool;
import baobabcroft.common.Scheduler;
import baobabcroft.external.LiveEntry;
import baobabcroft.external.LiveList;
import baobabcroft.external.LiveListResult;
import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import baobabcroft.membership.Members;
import com.google.common.base.Ticker;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.net.InetAddresses;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Polls the platform's live list and updates the members and the endpoint pool.
 *
 * <p>If the live list is unavailable, the last one stays in use. Thread-safe.
 */
final class LiveListPoller {
    private final EventLog log = EventLog.of(LiveListPoller.class);
    private final LiveList liveList;
    private final Members members;
    private final EndpointPool pool;
    private final Scheduler scheduler;
    private final Ticker ticker;
    private final long intervalMillis;
    private volatile ImmutableMap<String, InetSocketAddress> peerAddresses = ImmutableMap.of();
    private volatile ImmutableMap<String, String> failureDomains = ImmutableMap.of();
    private volatile boolean available = true;
    private volatile boolean closed;

    LiveListPoller(
            LiveList liveList,
            Members members,
            EndpointPool pool,
            Scheduler scheduler,
            Ticker ticker,
            long intervalMillis) {
        this.liveList = checkNotNull(liveList);
        this.members = checkNotNull(members);
        this.pool = checkNotNull(pool);
        this.scheduler = checkNotNull(scheduler);
        this.ticker = checkNotNull(ticker);
        this.intervalMillis = intervalMillis;
    }

    /** Starts polling. */
    void start() {
        poll();
    }

    /** Stops polling. */
    void close() {
        closed = true;
    }

    /** Returns the address on which an instance accepts peer connections, or empty if it is not listed. */
    Optional<InetSocketAddress> addressOf(String instance) {
        return Optional.ofNullable(peerAddresses.get(instance));
    }

    /** Returns the failure domain under which an instance is listed, or the empty string if it is not listed. */
    String failureDomainOf(String instance) {
        return failureDomains.getOrDefault(instance, "");
    }

    private void poll() {
        if (closed) {
            return;
        }
        liveList.fetch()
                .thenAccept(this::handleResult)
                .whenComplete((done, failure) -> scheduler.schedule(intervalMillis, this::poll));
    }

    private void handleResult(LiveListResult result) {
        if (result instanceof LiveListResult.Unavailable unavailable) {
            if (available) {
                log.log(LogEvent.LIVE_LIST_UNAVAILABLE, unavailable.reason());
            }
            available = false;
            // Members must be updated at least once per second, also while the list is unavailable.
            members.updateListed(members.listed(), ticker.read());
            return;
        }
        available = true;
        LiveListResult.Listed listed = (LiveListResult.Listed) result;
        ImmutableMap.Builder<String, InetSocketAddress> addresses = ImmutableMap.builder();
        listed.entries().stream()
                .filter(entry -> entry.role() == LiveEntry.Role.INSTANCE)
                .forEach(entry -> addresses.put(entry.name(), address(entry)));
        peerAddresses = addresses.buildKeepingLast();
        failureDomains = listed.entries().stream()
                .collect(ImmutableMap.toImmutableMap(LiveEntry::name, LiveEntry::failureDomain, (first, last) -> last));
        members.updateListed(names(listed, entry -> entry.role() == LiveEntry.Role.INSTANCE), ticker.read());
        pool.markLeaving(names(
                listed, entry -> entry.role() == LiveEntry.Role.ENDPOINT && entry.state() == LiveEntry.State.LEAVING));
    }

    private static InetSocketAddress address(LiveEntry entry) {
        InetAddress host = InetAddresses.forString(entry.address().getHost());
        return new InetSocketAddress(host, entry.address().getPort());
    }

    private static ImmutableSet<String> names(LiveListResult.Listed listed, Predicate<LiveEntry> wanted) {
        return listed.entries().stream().filter(wanted).map(LiveEntry::name).collect(ImmutableSet.toImmutableSet());
    }
}
