package baobabcroft.gateway;

import baobabcroft.rules.VersionId;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

/** Resolves the version to which a session is pinned. Thread-safe. */
@FunctionalInterface
public interface SessionVersionResolver {
    /**
     * Returns the session's version of a model. The first choice for a session is permanent.
     *
     * @param account name of the client account
     * @param session name of the session
     * @param model name of the model
     * @param choice chooses the version for a new session
     * @param singleVersion whether the model has a single version, so that there is no choice to record
     * @return the version; fails with {@code session_unavailable} and execution status "not run" if it can be neither
     *     read nor recorded
     */
    CompletionStage<VersionId> versionOf(
            String account, String session, String model, Supplier<VersionId> choice, boolean singleVersion);
}
