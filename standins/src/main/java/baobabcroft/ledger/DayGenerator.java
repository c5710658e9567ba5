package baobabcroft.ledger;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.Multimaps;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.ListSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Generates days in which given pairs of kinds overlap, in both orders where the one that comes first lasts: a greedy
 * covering array. Each disturbance of a day begins while all lasting ones before it go on.
 */
final class DayGenerator {
    /** So few that the cause of a broken rule can be found. */
    private static final int DISTURBANCES_A_DAY = 4;

    private static final double FIRST_START_SECONDS = 4;
    private static final double START_INTERVAL_SECONDS = 1.5;
    private static final double MIN_DURATION_SECONDS = 8;
    private static final double DAY_SECONDS = 32;

    private final ImmutableListMultimap<String, Disturbance> troubles;
    private final UniformRandomProvider random;
    /** Ordered pairs of kinds that no generated day has yet. */
    private final Set<Ordered> uncovered = new LinkedHashSet<>();

    private record Ordered(String earlier, String later) {}

    private DayGenerator(SiteFile site, UniformRandomProvider random) {
        this.troubles = Multimaps.index(site.troubles(), Disturbance::kind);
        this.random = random;
    }

    /**
     * Returns days that cover the given pairs.
     *
     * @param site disturbances of the site
     * @param pairs the pairs to cover
     * @param seed seed of all choices, not negative
     * @param most number of days at the most; the first ones cover most pairs
     */
    static ImmutableList<ObjectNode> generate(SiteFile site, Collection<KindPair> pairs, long seed, int most) {
        checkArgument(seed >= 0, "seed negative: %s", seed);
        checkArgument(most > 0, "number of days not positive: %s", most);
        DayGenerator generator = new DayGenerator(site, RandomSource.XO_RO_SHI_RO_128_PP.create(seed));
        pairs.forEach(generator::addUncovered);
        ImmutableList.Builder<ObjectNode> days = ImmutableList.builder();
        for (int number = 1; number <= most && !generator.uncovered.isEmpty(); number++) {
            days.add(generator.day("pairs-" + seed + "-" + number));
        }
        return days.build();
    }

    private void addUncovered(KindPair pair) {
        boolean firstLasts = isLasting(pair.first());
        boolean secondLasts = isLasting(pair.second());
        if (firstLasts || !secondLasts) {
            uncovered.add(new Ordered(pair.first(), pair.second()));
        }
        if (secondLasts) {
            uncovered.add(new Ordered(pair.second(), pair.first()));
        }
    }

    private boolean isLasting(String kind) {
        return troubles.get(kind).stream().anyMatch(Disturbance::isLasting);
    }

    private ObjectNode day(String name) {
        List<String> kinds = chooseKinds();
        ObjectNode day = JsonNodeFactory.instance.objectNode().put("name", name).put("length_s", DAY_SECONDS);
        for (boolean planned : new boolean[] {true, false}) {
            List<ObjectNode> entries = new ArrayList<>();
            for (int i = 0; i < kinds.size(); i++) {
                Disturbance disturbance = anyOf(kinds.get(i));
                if (disturbance.isPlanned() == planned) {
                    entries.add(disturbance.at(FIRST_START_SECONDS + i * START_INTERVAL_SECONDS, MIN_DURATION_SECONDS));
                }
            }
            if (!entries.isEmpty()) {
                day.putArray(planned ? "plan" : "faults").addAll(entries);
            }
        }
        return day;
    }

    private Disturbance anyOf(String kind) {
        ImmutableList<Disturbance> variants = troubles.get(kind);
        return variants.get(random.nextInt(variants.size()));
    }

    /** Chooses the kinds of a day one by one, each such that most uncovered pairs are covered, and covers them. */
    private List<String> chooseKinds() {
        Ordered start = uncovered.iterator().next();
        List<String> chosen = new ArrayList<>(List.of(start.earlier(), start.later()));
        cover(chosen);
        List<String> candidates = new ArrayList<>(troubles.keySet());
        ListSampler.shuffle(random, candidates);
        while (chosen.size() < DISTURBANCES_A_DAY) {
            Optional<String> next = candidates.stream()
                    .filter(kind -> !chosen.contains(kind))
                    .max(Comparator.comparingLong(kind -> gain(chosen, kind)))
                    .filter(kind -> gain(chosen, kind) > 0);
            if (next.isEmpty()) {
                break;
            }
            chosen.add(next.get());
            cover(chosen);
        }
        return chosen;
    }

    private long gain(List<String> chosen, String next) {
        return chosen.stream()
                .filter(earlier -> uncovered.contains(new Ordered(earlier, next)))
                .count();
    }

    private void cover(List<String> chosen) {
        String latest = chosen.get(chosen.size() - 1);
        chosen.forEach(earlier -> uncovered.remove(new Ordered(earlier, latest)));
    }
}
