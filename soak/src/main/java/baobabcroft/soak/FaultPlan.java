package baobabcroft.soak;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.apache.commons.rng.UniformRandomProvider;

/** Draws the disturbances of a run: in series and overlapping, with quiet times at both ends. */
final class FaultPlan {
    /** Time before the first disturbance, in milliseconds. */
    static final long QUIET_START_MILLIS = 6_000;
    /** Time after the last one, in which all is to be served again, in milliseconds. */
    static final long QUIET_END_MILLIS = 14_000;

    private static final long MEAN_GAP_MILLIS = 3_500;
    private static final double ALL_SHARE = 0.15;

    private final UniformRandomProvider random;
    private final int instances;
    private final int endpoints;

    private FaultPlan(UniformRandomProvider random, int instances, int endpoints) {
        this.random = random;
        this.instances = instances;
        this.endpoints = endpoints;
    }

    /** Returns the disturbances of a run in the order of their beginnings. */
    static ImmutableList<Fault> draw(
            UniformRandomProvider random, Set<FaultKind> kinds, long durationMillis, int instances, int endpoints) {
        FaultPlan plan = new FaultPlan(random, instances, endpoints);
        ImmutableList<FaultKind> sorted = ImmutableList.sortedCopyOf(kinds);
        List<Fault> faults = new ArrayList<>();
        long lastEndMillis = durationMillis - QUIET_END_MILLIS;
        long atMillis = QUIET_START_MILLIS;
        while (atMillis < lastEndMillis && !sorted.isEmpty()) {
            FaultKind kind = sorted.get(random.nextInt(sorted.size()));
            Fault fault = plan.fault(kind, atMillis);
            if (fault.endMillis() <= lastEndMillis) {
                faults.add(fault);
            }
            atMillis += (long) (-Math.log(1 - random.nextDouble()) * MEAN_GAP_MILLIS);
        }
        faults.sort(Comparator.comparingLong(Fault::atMillis));
        return ImmutableList.copyOf(faults);
    }

    private Fault fault(FaultKind kind, long atMillis) {
        long forMillis = (long)
                switch (kind) {
                    case LINK_CUT, LINK_RESET, ENDPOINT_LIMIT, ENDPOINT_BRITTLE, EVACUATION, REGIONS_LIMITED ->
                        7_000 + 6_000 * random.nextDouble();
                    case ENDPOINT_LEAVING, KEY_WITHDRAWN, CONFIG_SERIES -> 6_000 + 3_000 * random.nextDouble();
                    case ENDPOINT_SILENCE -> 1_000;
                    default -> 700 + 2_800 * random.nextDouble();
                };
        boolean allEndpoints = kind == FaultKind.ENDPOINT_BRITTLE
                || (kind == FaultKind.ENDPOINT_PAUSE && random.nextDouble() < ALL_SHARE * 2);
        return new Fault(
                kind,
                atMillis,
                forMillis,
                kind.isOfInstances() ? someInstances(kind) : ImmutableSet.of(),
                allEndpoints ? numbers(endpoints, endpoints) : numbers(1, endpoints),
                random.nextDouble());
    }

    /** Returns one instance, some of them, or all; a cut leaves one that reaches the endpoints. */
    private ImmutableSet<Integer> someInstances(FaultKind kind) {
        int most = kind.isCut() ? instances - 1 : instances;
        double draw = random.nextDouble();
        if (draw < ALL_SHARE) {
            return numbers(most, instances);
        }
        return draw < 0.5 ? numbers(1, instances) : numbers(1 + random.nextInt(Math.max(1, most / 2)), instances);
    }

    private ImmutableSet<Integer> numbers(int count, int of) {
        Set<Integer> drawn = new TreeSet<>();
        while (drawn.size() < count) {
            drawn.add(random.nextInt(of));
        }
        return ImmutableSet.copyOf(drawn);
    }
}
