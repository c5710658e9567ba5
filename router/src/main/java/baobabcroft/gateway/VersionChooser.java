package baobabcroft.gateway;

import baobabcroft.rules.VersionId;
import baobabcroft.rules.VersionRule;
import java.util.List;
import java.util.Optional;

/** Chooses the version for a new session or for a request without a session. Thread-safe. */
@FunctionalInterface
public interface VersionChooser {
    /**
     * Chooses one of the open versions of a model. All instances make the same choice for the same arguments.
     *
     * @param open the open versions that the account may use, ordered by name
     * @param assignmentKey the session name or request identifier that determines the choice
     * @return the version, or empty if none accepts new requests
     */
    Optional<VersionId> choose(List<VersionRule> open, String assignmentKey);
}
