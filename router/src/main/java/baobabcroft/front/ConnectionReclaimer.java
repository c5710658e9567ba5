package baobabcroft.front;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Takes memory and descriptors back from connections that hold them without progress, when others need them. A request
 * that is being served is never touched. Not thread-safe.
 */
final class ConnectionReclaimer {
    /** Interval at which candidates are searched for; a search looks at all connections. */
    private static final long SEARCH_MILLIS = 100;

    private final Collection<CallerConnection> connections;
    private final LongSupplier nowMillis;
    private final Deque<CallerConnection> candidates = new ArrayDeque<>();
    private Optional<Long> searchedMillis = Optional.empty();
    private long reclaimedRequests;
    private long reclaimedIdle;

    ConnectionReclaimer(Collection<CallerConnection> connections, LongSupplier nowMillis) {
        this.connections = checkNotNull(connections);
        this.nowMillis = checkNotNull(nowMillis);
    }

    /** Returns how many unfinished requests were refused so that others were received. */
    long reclaimedRequests() {
        return reclaimedRequests;
    }

    /** Returns how many connections were closed so that others were accepted. */
    long reclaimedIdle() {
        return reclaimedIdle;
    }

    /**
     * Refuses requests that are received without progress, those first that hold the most for the longest time, until
     * there is room; returns whether there is.
     */
    boolean makeRoom(BooleanSupplier hasRoom) {
        long now = nowMillis.getAsLong();
        if (searchedMillis.filter(millis -> now - millis < SEARCH_MILLIS).isEmpty()) {
            searchedMillis = Optional.of(now);
            candidates.clear();
            connections.stream()
                    .filter(connection -> isStalled(connection, now))
                    .sorted(Comparator.comparingLong((CallerConnection connection) -> -connection.reclaimableBytes()
                            * connection.progress().ageMillis(now)))
                    .forEach(candidates::add);
        }
        while (!candidates.isEmpty()) {
            CallerConnection next = candidates.poll();
            if (isStalled(next, now)) {
                reclaimedRequests++;
                next.reclaim();
                if (hasRoom.getAsBoolean()) {
                    return true;
                }
            }
        }
        return false;
    }

    private static boolean isStalled(CallerConnection connection, long now) {
        return connection.isReceiving() && connection.progress().isStalled(now);
    }

    /**
     * Closes the connection that has been silent the longest among those without a request, or with a request that is
     * received without progress; returns whether there was one.
     */
    boolean closeOne() {
        long now = nowMillis.getAsLong();
        Optional<CallerConnection> quietest = connections.stream()
                .filter(connection -> isStalled(connection, now)
                        || (connection.isIdle() && connection.progress().isSilent(now)))
                .min(Comparator.comparingLong(
                        connection -> connection.progress().lastMillis()));
        quietest.ifPresent(connection -> {
            reclaimedIdle++;
            connection.reclaim();
        });
        return quietest.isPresent();
    }
}
