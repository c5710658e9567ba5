package baobabcroft.pace;

import baobabcroft.directory.EndpointDirectory;
import baobabcroft.directory.EndpointEntry;
import baobabcroft.load.PeerLoads;
import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.LongSupplier;

/**
 * The paces of endpoints whose services state nothing. They are compared with the average of their service; if more
 * than half of its endpoints are new, there is nothing to compare with, and none is paced. Not thread-safe.
 */
final class LearnedPaces {
    /** Time for which an endpoint counts as new among those of its service, in milliseconds. */
    private static final long NEW_MILLIS = 10_000;
    /** Average from which pacing is worthwhile, in requests a second: below, a new endpoint gets few anyway. */
    private static final double MIN_AVERAGE_PER_SECOND = 1;

    private final PaceFleet fleet;
    private final EndpointDirectory directory;
    private final EndpointEvidence evidence;
    private final LongSupplier nowMillis;
    private final ServiceTraffic traffic;
    private final Map<HostAndPort, Learning> byAddress = new HashMap<>();

    /** Recent starts, also of endpoints that are not paced. */
    private final Map<HostAndPort, Start> recentStarts = new HashMap<>();

    private record Learning(EndpointEntry entry, LearnedPace pace) {}

    private record Start(String service, long atMillis) {}

    LearnedPaces(PaceFleet fleet, EndpointDirectory directory, EndpointEvidence evidence, LongSupplier nowMillis) {
        this.fleet = fleet;
        this.directory = directory;
        this.evidence = evidence;
        this.nowMillis = nowMillis;
        this.traffic = new ServiceTraffic(nowMillis);
    }

    void onRequest(String service) {
        traffic.onRequest(service);
    }

    /** Starts to learn the pace of an endpoint, unless there is nothing to compare it with. */
    void start(EndpointEntry endpoint) {
        long now = nowMillis.getAsLong();
        String service = endpoint.service();
        recentStarts.put(endpoint.address(), new Start(service, now));
        recentStarts.values().removeIf(start -> now - start.atMillis() > NEW_MILLIS);
        long newEndpoints = recentStarts.values().stream()
                .filter(start -> start.service().equals(service))
                .count();
        if (2 * newEndpoints > directory.accepting(service).size()) {
            byAddress.values().removeIf(known -> known.entry().service().equals(service));
            return;
        }
        OptionalDouble average = averagePerEndpoint(service);
        if (average.isEmpty() || average.getAsDouble() < MIN_AVERAGE_PER_SECOND) {
            return;
        }
        byAddress.put(endpoint.address(), new Learning(endpoint, new LearnedPace(average.getAsDouble(), now)));
    }

    /** Returns what an endpoint gets on average, rounded to a power of two, on which instances rather agree. */
    private OptionalDouble averagePerEndpoint(String service) {
        OptionalDouble own = traffic.perSecond(service);
        int endpoints = directory.accepting(service).size();
        if (own.isEmpty() || endpoints == 0 || own.getAsDouble() == 0) {
            return OptionalDouble.empty();
        }
        double average = own.getAsDouble() * Math.max(1, fleet.names().size()) / endpoints;
        return OptionalDouble.of(Math.pow(2, Math.rint(Math.log(average) / Math.log(2))));
    }

    /** Takes in what instances have seen of the endpoints; to be called a few times a second. */
    void tick() {
        for (Learning learning : ImmutableList.copyOf(byAddress.values())) {
            PeerLoads.Load seen = evidence.seenByAll(learning.entry());
            learning.pace().update(seen.failureRate(), seen.lateMillis(), nowMillis.getAsLong());
            if (learning.pace().isOver(nowMillis.getAsLong())) {
                byAddress.remove(learning.entry().address());
            }
        }
    }

    /** Returns the pace of an endpoint over all instances, in requests a second; empty if it has none. */
    OptionalDouble ratePerSecond(EndpointEntry endpoint) {
        Learning learning = byAddress.get(endpoint.address());
        return learning == null
                ? OptionalDouble.empty()
                : OptionalDouble.of(learning.pace().ratePerSecond());
    }
}
