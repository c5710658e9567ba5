package baobabcroft.rollout;

import baobabcroft.rules.VersionId;
import baobabcroft.rules.VersionRule;
import baobabcroft.rules.VersionState;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Chooses the version for a new session, or for a request without a session, by weighted rendezvous hashing.
 *
 * <p>Instances with the same rules and the same stopped versions make the same choice. When the share of a version
 * grows, keys move only to that version. The share of a stopped version is distributed over the other open ones in
 * proportion to their shares.
 */
public final class VersionAssignment {
    private static final double HASH_RANGE = 1L << 53;

    private VersionAssignment() {}

    /**
     * Returns the version for a key.
     *
     * @param key ID of the session, or of the request if it has no session
     * @param versions all versions of the model
     * @param stopped whether a version is stopped and the stop is not overruled
     * @return a version that is open, has a share and is not stopped; empty if there is none, in which case the request
     *     must be refused
     */
    public static Optional<VersionId> assign(
            String key, Collection<VersionRule> versions, Predicate<VersionRule> stopped) {
        return versions.stream()
                .filter(rule -> rule.state() == VersionState.OPEN && rule.sharePercent() > 0)
                .filter(stopped.negate())
                .min(Comparator.<VersionRule>comparingDouble(rule -> exponentialVariate(key, rule))
                        .thenComparing(VersionRule::id))
                .map(VersionRule::id);
    }

    /**
     * Returns an exponential variate whose rate is the version's share. The probability of being the smallest of
     * several is proportional to the share.
     */
    private static double exponentialVariate(String key, VersionRule rule) {
        long hash = Hashing.murmur3_128()
                .newHasher()
                .putString(key, StandardCharsets.UTF_8)
                .putChar('\0')
                .putString(rule.id().toString(), StandardCharsets.UTF_8)
                .hash()
                .asLong();
        double uniform = ((hash >>> 11) + 0.5) / HASH_RANGE;
        return -Math.log(uniform) / rule.sharePercent();
    }
}
