package baobabcroft.membership;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Predicate;

/**
 * Whom an instance sends heartbeats to in one round, so that control traffic does not grow with the fleet.
 *
 * <p>Up to a limit it is everybody. Beyond it: some of the own failure domain, some others at random, and some of those
 * who watch the store in each region. Immutable; the random source is passed in.
 */
public final class HeartbeatPlan {
    /** Up to so many members, everybody is asked. */
    public static final int FULL_MESH_MEMBERS = 12;

    private final String self;
    private final int near;
    private final int far;
    private final int watchersPerRegion;

    /**
     * Where an instance stands.
     *
     * @param failureDomain its failure domain
     * @param region the region of that
     * @param watchesStore whether it reads and watches the store itself
     */
    public record Place(String failureDomain, String region, boolean watchesStore) {
        /** Checks the parts. */
        public Place {
            checkNotNull(failureDomain);
            checkNotNull(region);
        }
    }

    private HeartbeatPlan(String self, int near, int far, int watchersPerRegion) {
        checkArgument(near >= 0, "near must not be negative, was %s", near);
        checkArgument(far >= 0, "far must not be negative, was %s", far);
        checkArgument(watchersPerRegion >= 0, "watchersPerRegion must not be negative, was %s", watchersPerRegion);
        this.self = checkNotNull(self);
        this.near = near;
        this.far = far;
        this.watchersPerRegion = watchersPerRegion;
    }

    /**
     * Returns a plan.
     *
     * @param self the instance's own name
     * @param near how many of its failure domain are asked in a round
     * @param far how many others
     * @param watchersPerRegion how many of those who watch the store, in each region
     * @return the plan
     */
    public static HeartbeatPlan of(String self, int near, int far, int watchersPerRegion) {
        return new HeartbeatPlan(self, near, far, watchersPerRegion);
    }

    /**
     * Returns whom to ask in one round.
     *
     * @param places all members and where they stand, this instance included
     * @param random picks the subset
     * @return the instances to ask, without this one
     */
    public ImmutableSet<String> targets(Map<String, Place> places, Random random) {
        Map<String, Place> others = others(places);
        Place own = places.get(self);
        if (places.size() <= FULL_MESH_MEMBERS || own == null) {
            return ImmutableSet.copyOf(others.keySet());
        }
        ImmutableSet.Builder<String> targets = ImmutableSet.builder();
        Predicate<Place> isNear = place -> place.failureDomain().equals(own.failureDomain());
        targets.addAll(pick(others, isNear, near, random));
        targets.addAll(pick(others, isNear.negate(), far, random));
        for (String region : regions(others)) {
            Predicate<Place> watches =
                    place -> place.watchesStore() && place.region().equals(region);
            targets.addAll(pick(others, watches, watchersPerRegion, random));
        }
        return targets.build();
    }

    private Map<String, Place> others(Map<String, Place> places) {
        ImmutableMap.Builder<String, Place> others = ImmutableMap.builder();
        places.forEach((name, place) -> {
            if (!name.equals(self)) {
                others.put(name, place);
            }
        });
        return others.buildOrThrow();
    }

    private static ImmutableSet<String> regions(Map<String, Place> places) {
        return places.values().stream().map(Place::region).collect(ImmutableSet.toImmutableSet());
    }

    private static List<String> pick(Map<String, Place> places, Predicate<Place> wanted, int count, Random random) {
        List<String> candidates = new ArrayList<>();
        places.forEach((name, place) -> {
            if (wanted.test(place)) {
                candidates.add(name);
            }
        });
        Collections.sort(candidates);
        Collections.shuffle(candidates, random);
        return candidates.subList(0, Math.min(count, candidates.size()));
    }
}
