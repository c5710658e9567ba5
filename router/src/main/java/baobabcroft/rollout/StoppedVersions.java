package baobabcroft.rollout;

import baobabcroft.rules.VersionId;
import baobabcroft.rules.VersionRule;
import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.Optional;
import java.util.concurrent.ConcurrentSkipListMap;

/**
 * Versions that were stopped automatically.
 *
 * <p>A stop holds for new sessions and requests without one; sessions that keep the version go on until the operator
 * withdraws it. It holds until the operator overrules it in the rules, and again if the overruling is taken back. When
 * a roll-out stops halfway, the stopped version's share goes to the other open versions; when none is left, new work of
 * the model is refused, not run. Stops of all instances are joined as a set and live in their memories: when all
 * instances are replaced at once, the test starts anew.
 *
 * <p>Thread-safe and free of locks.
 */
public final class StoppedVersions {
    private final ConcurrentSkipListMap<VersionId, VersionStop> stops = new ConcurrentSkipListMap<>();

    private StoppedVersions() {}

    /**
     * Returns an aggregate without stops.
     *
     * @return the aggregate
     */
    public static StoppedVersions create() {
        return new StoppedVersions();
    }

    /**
     * Adds a stop. Of several stops of a version the first stays.
     *
     * @param stop found by this instance or told by another
     * @return whether it is new here, so that operators should be told
     */
    public boolean add(VersionStop stop) {
        if (stops.putIfAbsent(stop.version(), stop) == null) {
            return true;
        }
        stops.merge(stop.version(), stop, StoppedVersions::first);
        return false;
    }

    private static VersionStop first(VersionStop one, VersionStop other) {
        return other.atEpochMillis() < one.atEpochMillis() ? other : one;
    }

    /**
     * Adds the stops that another instance told.
     *
     * @param told its stops
     */
    public void merge(Collection<VersionStop> told) {
        told.forEach(this::add);
    }

    /**
     * Returns whether a version takes no new sessions.
     *
     * @param rule the version
     * @return true if it was stopped and the operator has not overruled that
     */
    public boolean isStopped(VersionRule rule) {
        return !rule.overruleAutomaticStop() && stops.containsKey(rule.id());
    }

    /**
     * Returns the stop of a version.
     *
     * @param version the version
     * @return the stop, whether overruled or not
     */
    public Optional<VersionStop> stop(VersionId version) {
        return Optional.ofNullable(stops.get(version));
    }

    /**
     * Returns all stops, for operators and to tell other instances.
     *
     * @return the stops, whether overruled or not
     */
    public ImmutableList<VersionStop> stops() {
        return ImmutableList.copyOf(stops.values());
    }
}
