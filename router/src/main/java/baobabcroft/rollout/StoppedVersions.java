package baobabcroft.rollout;

import baobabcroft.rules.VersionId;
import baobabcroft.rules.VersionRule;
import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.Optional;
import java.util.concurrent.ConcurrentSkipListMap;

/**
 * The set of versions that were stopped automatically.
 *
 * <p>A stop applies to new sessions and to requests without a session; sessions pinned to the version continue until
 * the operator withdraws the version. The rules can overrule a stop, which then has no effect as long as the rule is
 * present. The share of a stopped version goes to the other open versions of the model. A model whose open versions are
 * all stopped continues to be served as if none were, because an answer of doubtful quality is better than none.
 *
 * <p>The stops of all instances are merged by set union and kept only in memory: if all instances are replaced at once,
 * the stops are lost and the versions are evaluated from the start.
 *
 * <p>Thread-safe and lock-free.
 */
public final class StoppedVersions {
    private final ConcurrentSkipListMap<VersionId, VersionStop> stops = new ConcurrentSkipListMap<>();

    private StoppedVersions() {}

    /**
     * Returns an empty set.
     *
     * @return the set, without stops
     */
    public static StoppedVersions create() {
        return new StoppedVersions();
    }

    /**
     * Adds a stop. Of several stops of a version, the earliest is kept.
     *
     * @param stop stop found by this instance or reported by another
     * @return true if the version had no stop here, so that operators should be notified
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
     * Adds the stops that another instance reported.
     *
     * @param reported the stops
     */
    public void merge(Collection<VersionStop> reported) {
        reported.forEach(this::add);
    }

    /**
     * Returns whether a version accepts no new sessions.
     *
     * @param rule the version
     * @return true if the version was stopped and the operator has not overruled the stop
     */
    public boolean isStopped(VersionRule rule) {
        return !rule.overruleAutomaticStop() && stops.containsKey(rule.id());
    }

    /**
     * Returns the stop of a version.
     *
     * @param version the version
     * @return the stop, overruled or not; empty if there is none
     */
    public Optional<VersionStop> stop(VersionId version) {
        return Optional.ofNullable(stops.get(version));
    }

    /**
     * Returns all stops, for operators and for other instances.
     *
     * @return the stops, overruled or not, ordered by version
     */
    public ImmutableList<VersionStop> stops() {
        return ImmutableList.copyOf(stops.values());
    }
}
