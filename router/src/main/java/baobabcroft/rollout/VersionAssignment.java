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
 * Chooses the version of a new session or of a request without one, by weighted rendezvous hashing.
 *
 * <p>All instances with the same rules and the same stopped versions choose the same. When a share grows, keys move to
 * that version only; the share of a stopped version goes to the other open ones in proportion to theirs.
 */
public final class VersionAssignment {
    private static final double UNITS = 1L << 53;

    private VersionAssignment() {}

    /**
     * Returns the version for a key.
     *
     * @param key the session, or the request if it has none
     * @param versions all versions of the model
     * @param stopped whether a version is stopped and not overruled
     * @return an open version with a share that is not stopped, or empty if there is none, which must be refused
     */
    public static Optional<VersionId> assign(
            String key, Collection<VersionRule> versions, Predicate<VersionRule> stopped) {
        return versions.stream()
                .filter(rule -> rule.state() == VersionState.OPEN && rule.sharePercent() > 0)
                .filter(stopped.negate())
                .min(Comparator.<VersionRule>comparingDouble(rule -> arrival(key, rule))
                        .thenComparing(VersionRule::id))
                .map(VersionRule::id);
    }

    /** Returns an exponential variate with the share as its rate; the smallest of several falls by their shares. */
    private static double arrival(String key, VersionRule rule) {
        long hash = Hashing.murmur3_128()
                .newHasher()
                .putString(key, StandardCharsets.UTF_8)
                .putChar('\0')
                .putString(rule.id().toString(), StandardCharsets.UTF_8)
                .hash()
                .asLong();
        double uniform = ((hash >>> 11) + 0.5) / UNITS;
        return -Math.log(uniform) / rule.sharePercent();
    }
}
