package baobabcroft.balance;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.apache.commons.rng.UniformRandomProvider;

/** Picks from the nearest tier with room: the prefix's endpoint if its load is within bounds, else one of two. */
final class TieredPicker implements EndpointPicker {
    private static final double AFFINITY_LOAD_FACTOR = 1.25;
    private static final double AFFINITY_LOAD_MARGIN = 0.1;

    @Override
    public Optional<Candidate> pick(List<Candidate> candidates, EndpointCriteria facts, UniformRandomProvider random) {
        List<Candidate> withRoom = filter(candidates, candidate -> candidate.load() < candidate.capacity());
        List<Candidate> inTime = filter(withRoom, candidate -> candidate.answersWithin(facts.remainingMillis()));
        List<Candidate> usable = inTime.isEmpty() ? withRoom : inTime;
        List<Candidate> preferred = filter(usable, candidate -> !isAvoided(candidate, facts));
        return pickNearest(preferred.isEmpty() ? usable : preferred, facts, random);
    }

    private static boolean isAvoided(Candidate candidate, EndpointCriteria facts) {
        return facts.avoidedFailureDomain()
                .filter(candidate.rule().failureDomain()::equals)
                .isPresent();
    }

    private static Optional<Candidate> pickNearest(
            List<Candidate> usable, EndpointCriteria facts, UniformRandomProvider random) {
        for (Locality locality : Locality.values()) {
            List<Candidate> tier = filter(usable, candidate -> candidate.locality() == locality);
            if (!tier.isEmpty()) {
                return Optional.of(pickInTier(tier, facts, random));
            }
        }
        return Optional.empty();
    }

    private static Candidate pickInTier(List<Candidate> tier, EndpointCriteria facts, UniformRandomProvider random) {
        Candidate first = tier.get(random.nextInt(tier.size()));
        Candidate second = tier.get(random.nextInt(tier.size()));
        Candidate lessLoaded = first.relativeLoad() <= second.relativeLoad() ? first : second;
        if (facts.prefixDigest().isEmpty()) {
            return lessLoaded;
        }
        return pickByPrefix(tier, facts.prefixDigest().getAsLong()).orElse(lessLoaded);
    }

    private static Optional<Candidate> pickByPrefix(List<Candidate> tier, long prefixDigest) {
        double meanLoad =
                tier.stream().mapToDouble(Candidate::relativeLoad).average().orElse(0);
        double bound = meanLoad * AFFINITY_LOAD_FACTOR + AFFINITY_LOAD_MARGIN;
        return tier.stream()
                .max(Comparator.comparingLong(candidate -> score(candidate, prefixDigest)))
                .filter(candidate -> candidate.relativeLoad() <= bound);
    }

    /** Returns the endpoint's weight for the prefix; the greatest wins, and stays when other endpoints come or go. */
    private static long score(Candidate candidate, long prefixDigest) {
        return Hashing.murmur3_128()
                .newHasher()
                .putLong(prefixDigest)
                .putString(candidate.rule().name(), StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }

    private static List<Candidate> filter(List<Candidate> candidates, Predicate<Candidate> wanted) {
        return candidates.stream().filter(wanted).toList();
    }
}
