package baobabcroft.gateway;

import baobabcroft.rules.VersionId;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

/** Tells which version a session keeps. Thread-safe. */
@FunctionalInterface
public interface SessionVersionResolver {
    /**
     * Returns the session's version of a model; the first caller's choice stays.
     *
     * @param account the client account
     * @param session the session's name
     * @param model the model
     * @param choice chooses a version for a new session
     * @param onlyOneVersionEver whether the model has a single version, so that there is nothing to choose
     * @return the version; fails with {@code session_unavailable}, not run, if it can be neither found nor recorded
     */
    CompletionStage<VersionId> versionOf(
            String account, String session, String model, Supplier<VersionId> choice, boolean onlyOneVersionEver);
}
