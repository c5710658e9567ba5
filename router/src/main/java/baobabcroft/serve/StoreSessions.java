package baobabcroft.serve;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.common.ErrorCode;
import baobabcroft.common.RouterException;
import baobabcroft.gateway.SessionVersions;
import baobabcroft.platform.KeyValueStore;
import baobabcroft.platform.Versioned;
import baobabcroft.platform.WriteResult;
import baobabcroft.rules.VersionId;
import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

/** Keeps each session's version under a key of its own, first writer wins. Thread-safe. */
final class StoreSessions implements SessionVersions {
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final KeyValueStore store;

    StoreSessions(KeyValueStore store) {
        this.store = checkNotNull(store);
    }

    @Override
    public CompletionStage<VersionId> versionOf(
            String account, String session, String model, Supplier<VersionId> choice, boolean onlyOneVersionEver) {
        VersionId chosen = choice.get();
        String key = "sessions/" + account + "/" + session + "/" + model;
        ByteString value = ByteString.copyFromUtf8(chosen.toString());
        return store.compareAndSwap(key, KeyValueStore.ABSENT, value, OptionalLong.empty())
                .thenApply(result -> {
                    if (result instanceof WriteResult.Done) {
                        return chosen;
                    }
                    return kept(result).orElseThrow(StoreSessions::unavailable);
                });
    }

    private static Optional<VersionId> kept(WriteResult result) {
        if (result instanceof WriteResult.Conflict conflict) {
            return conflict.current()
                    .map(Versioned::value)
                    .map(ByteString::toStringUtf8)
                    .flatMap(VersionId::parse);
        }
        return Optional.empty();
    }

    private static RouterException unavailable() {
        return RouterException.notRun(
                ErrorCode.SESSION_UNAVAILABLE, "the session's version cannot be looked up", RETRY_AFTER_MILLIS);
    }
}
