package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.limit.FleetView;
import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.DoubleSupplier;

/**
 * Admits requests that wait for the end of a pause that their service's endpoints have asked for. Together, the
 * instances let about as many wait as the endpoints process at the same time. Not thread-safe.
 */
public final class PauseQueue {
    /** Longest time over which the requests of this instance return after the end of a pause. */
    private static final long MAX_SPREAD_MILLIS = 500;

    /**
     * A pause of one endpoint.
     *
     * @param slots requests that the endpoint processes at the same time
     * @param millis time until the pause ends, in milliseconds
     */
    record Pause(int slots, long millis) {}

    private final FleetView fleet;
    private final DoubleSupplier random;
    private final Multiset<String> waitingByService = HashMultiset.create();
    private final Set<Runnable> placementListeners = new LinkedHashSet<>();

    private PauseQueue(FleetView fleet, DoubleSupplier random) {
        this.fleet = fleet;
        this.random = random;
    }

    /**
     * Returns an empty queue.
     *
     * @param fleet the instances that use the same endpoints
     * @param random source of numbers in [0, 1) that spread the requests' return
     * @return the queue
     */
    public static PauseQueue create(FleetView fleet, DoubleSupplier random) {
        return new PauseQueue(checkNotNull(fleet), checkNotNull(random));
    }

    /**
     * Lets a request wait if there is room and time for it; it must {@link #leave} afterwards.
     *
     * @param service the service that the request needs
     * @param pauses the pauses of its endpoints, in the order of their ends
     * @param maxWaitMillis how long the request may wait, in milliseconds
     * @return how long the request waits, in milliseconds; empty if it cannot
     */
    OptionalLong tryEnter(String service, List<Pause> pauses, long maxWaitMillis) {
        int ahead = waitingByService.count(service);
        OptionalLong pauseMillis = pauseMillis(ahead, pauses);
        if (pauseMillis.isEmpty() || pauseMillis.getAsLong() > maxWaitMillis) {
            return OptionalLong.empty();
        }
        waitingByService.add(service);
        long spreadMillis = Math.min(MAX_SPREAD_MILLIS, maxWaitMillis - pauseMillis.getAsLong());
        return OptionalLong.of(pauseMillis.getAsLong() + (long) (random.getAsDouble() * spreadMillis));
    }

    /** Returns the first end of a pause after which there is room for one more than the requests ahead. */
    private OptionalLong pauseMillis(int ahead, List<Pause> pauses) {
        double places = 0;
        for (Pause pause : pauses) {
            places += (double) pause.slots() / fleet.instances().get().size();
            if (ahead == 0 || places >= ahead + 1) {
                return OptionalLong.of(pause.millis());
            }
        }
        return OptionalLong.empty();
    }

    /** Ends the wait of a request. */
    void leave(String service) {
        waitingByService.remove(service);
    }

    /** Adds a waiting request's listener, which is run when endpoints have been excluded. */
    void addPlacementListener(Runnable listener) {
        placementListeners.add(listener);
    }

    void removePlacementListener(Runnable listener) {
        placementListeners.remove(listener);
    }

    /** Called when operators have excluded endpoints: requests that no endpoint may serve any more do not wait on. */
    public void onPlacementChanged() {
        List.copyOf(placementListeners).forEach(Runnable::run);
    }
}
