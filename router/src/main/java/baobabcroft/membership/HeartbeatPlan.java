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
 * Selects the instances to which an instance sends heartbeats in one round, so that the number of heartbeats that an
 * instance sends stays bounded in large deployments.
 *
 * <p>Up to {@link #FULL_MESH_MEMBERS} members, all are selected. Beyond that, a random selection is made of the own
 * failure domain, of the other failure domains, and of the instances that watch the store in each region. Immutable;
 * the random source is passed in.
 */
public final class HeartbeatPlan {
    /** Maximum number of members at which heartbeats go to all of them. */
    public static final int FULL_MESH_MEMBERS = 12;

    private final String self;
    private final int near;
    private final int far;
    private final int watchersPerRegion;

    /**
     * Location of an instance.
     *
     * @param failureDomain failure domain of the instance
     * @param region region of the failure domain
     * @param watchesStore whether the instance reads and watches the store itself
     */
    public record Place(String failureDomain, String region, boolean watchesStore) {
        /** Rejects null components. */
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
     * @param self name of this instance
     * @param near number of instances of the own failure domain selected in a round
     * @param far number of instances of other failure domains
     * @param watchersPerRegion number of instances that watch the store, in each region
     * @return the plan
     */
    public static HeartbeatPlan of(String self, int near, int far, int watchersPerRegion) {
        return new HeartbeatPlan(self, near, far, watchersPerRegion);
    }

    /**
     * Returns the instances to send heartbeats to in one round.
     *
     * @param places locations of all members by name, including this instance
     * @param random random source of the selection
     * @return names of the selected instances, without this one
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
