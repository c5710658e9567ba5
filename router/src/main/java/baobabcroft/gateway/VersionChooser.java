package baobabcroft.gateway;

import baobabcroft.rules.VersionId;
import baobabcroft.rules.VersionRule;
import java.util.List;
import java.util.Optional;

/** Chooses the version of a new session or of a request without one. Thread-safe. */
@FunctionalInterface
public interface VersionChooser {
    /**
     * Returns one of the open versions of a model.
     *
     * @param open the open versions that the account may use, in the order of their names
     * @param assignmentKey session or request that the choice depends on; the same on every instance
     * @return the version, or empty if none takes new work
     */
    Optional<VersionId> choose(List<VersionRule> open, String assignmentKey);
}
