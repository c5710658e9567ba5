package baobabcroft.serve;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.common.ErrorCode;
import baobabcroft.common.RouterException;
import baobabcroft.gateway.SessionVersionResolver;
import baobabcroft.rules.VersionId;
import baobabcroft.session.PinResult;
import baobabcroft.session.SessionService;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

/** Keeps sessions' versions as pins in the slots. Thread-safe. */
final class PinnedSessions implements SessionVersionResolver {
    private final SessionService sessions;

    PinnedSessions(SessionService sessions) {
        this.sessions = checkNotNull(sessions);
    }

    @Override
    public CompletionStage<VersionId> versionOf(
            String account, String session, String model, Supplier<VersionId> choice, boolean onlyOneVersionEver) {
        return sessions.pin(account, session, model, choice, onlyOneVersionEver).thenApply(result -> {
            if (result instanceof PinResult.Pinned pinned) {
                return pinned.version();
            }
            throw RouterException.notRun(
                    ErrorCode.SESSION_UNAVAILABLE,
                    "the session's version can be neither found nor recorded at present",
                    ((PinResult.Unavailable) result).retryAfterMillis());
        });
    }
}
