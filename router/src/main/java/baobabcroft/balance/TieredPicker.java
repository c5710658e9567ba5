package baobabcroft.balance;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Picks within the nearest locality that has capacity: the endpoint of the prompt prefix if its load is within a bound
 * relative to the mean, and otherwise the less loaded of two random endpoints.
 */
final class TieredPicker implements EndpointPicker {
    private static final double AFFINITY_LOAD_FACTOR = 1.25;
    private static final double AFFINITY_LOAD_MARGIN = 0.1;

    @Override
    public Optional<Candidate> pick(
            List<Candidate> candidates, EndpointCriteria criteria, UniformRandomProvider random) {
        List<Candidate> withCapacity = filter(candidates, candidate -> candidate.load() < candidate.capacity());
        List<Candidate> inTime = filter(withCapacity, candidate -> candidate.answersWithin(criteria.remainingMillis()));
        List<Candidate> usable = inTime.isEmpty() ? withCapacity : inTime;
        List<Candidate> preferred = filter(usable, candidate -> !isAvoided(candidate, criteria));
        return pickNearest(preferred.isEmpty() ? usable : preferred, criteria, random);
    }

    private static boolean isAvoided(Candidate candidate, EndpointCriteria criteria) {
        return criteria.avoidedFailureDomain()
                .filter(candidate.rule().failureDomain()::equals)
                .isPresent();
    }

    private static Optional<Candidate> pickNearest(
            List<Candidate> usable, EndpointCriteria criteria, UniformRandomProvider random) {
        for (Locality locality : Locality.values()) {
            List<Candidate> tier = filter(usable, candidate -> candidate.locality() == locality);
            if (!tier.isEmpty()) {
                return Optional.of(pickInTier(tier, criteria, random));
            }
        }
        return Optional.empty();
    }

    private static Candidate pickInTier(List<Candidate> tier, EndpointCriteria criteria, UniformRandomProvider random) {
        Candidate first = tier.get(random.nextInt(tier.size()));
        Candidate second = tier.get(random.nextInt(tier.size()));
        Candidate lessLoaded = first.relativeLoad() <= second.relativeLoad() ? first : second;
        if (criteria.prefixDigest().isEmpty()) {
            return lessLoaded;
        }
        return pickByPrefix(tier, criteria.prefixDigest().getAsLong()).orElse(lessLoaded);
    }

    private static Optional<Candidate> pickByPrefix(List<Candidate> tier, long prefixDigest) {
        double meanLoad =
                tier.stream().mapToDouble(Candidate::relativeLoad).average().orElse(0);
        double bound = meanLoad * AFFINITY_LOAD_FACTOR + AFFINITY_LOAD_MARGIN;
        return tier.stream()
                .max(Comparator.comparingLong(candidate -> rendezvousScore(candidate, prefixDigest)))
                .filter(candidate -> candidate.relativeLoad() <= bound);
    }

    /** Rendezvous hash: the endpoint with the greatest score does not change when others are added or removed. */
    private static long rendezvousScore(Candidate candidate, long prefixDigest) {
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
