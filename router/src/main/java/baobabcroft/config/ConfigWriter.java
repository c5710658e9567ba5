package baobabcroft.config;

import baobabcroft.external.KeyValueStore;
import baobabcroft.external.ReadResult;
import baobabcroft.external.Versioned;
import baobabcroft.external.WriteResult;
import com.google.protobuf.ByteString;
import java.time.InstantSource;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.LongSupplier;

/** Writes changes to the store, and determines the outcome if a reply is lost. Thread-safe. */
final class ConfigWriter {
    private static final int MAX_ATTEMPTS = 3;

    private final KeyValueStore store;
    private final InstantSource wallClock;
    private final LongSupplier appliedNumber;

    /** Outcome of a write. */
    sealed interface Outcome {
        /** The change was stored under the number of the document; a later change may have superseded it. */
        record Written(ConfigDocument document) implements Outcome {}

        /** The change was not written, or its outcome is unknown. */
        record NotWritten(ProposalResult result) implements Outcome {}
    }

    /**
     * Creates a writer.
     *
     * @param appliedNumber number that the instance has applied; a store with a smaller number has lost writes
     */
    ConfigWriter(KeyValueStore store, InstantSource wallClock, LongSupplier appliedNumber) {
        this.store = store;
        this.wallClock = wallClock;
        this.appliedNumber = appliedNumber;
    }

    CompletionStage<Outcome> write(ProposedChange change) {
        return store.read(ConfigKeys.CURRENT).thenCompose(result -> {
            if (!(result instanceof ReadResult.Found found)) {
                return unavailable("the store did not answer", false);
            }
            return decide(change, found.entries().stream().findFirst());
        });
    }

    private CompletionStage<Outcome> decide(ProposedChange change, Optional<Versioned> entry) {
        Optional<ConfigDocument> current = entry.flatMap(found -> ConfigDocument.fromBytes(found.value()));
        if (entry.isPresent() && current.isEmpty()) {
            return unavailable(ConfigKeys.CURRENT + " holds no configuration", false);
        }
        long number = current.map(ConfigDocument::number).orElse(0L);
        if (current.isPresent() && current.get().changeId().equals(change.changeId())) {
            return written(current.get());
        }
        if (number < change.baseNumber()) {
            return notWritten(new ProposalResult.UnknownNumber(change.baseNumber()));
        }
        if (number > change.baseNumber()) {
            return findInHistory(change, current.orElseThrow());
        }
        if (appliedNumber.getAsLong() > number) {
            return unavailable("the store has lost configuration " + appliedNumber.getAsLong(), false);
        }
        long revision = entry.map(Versioned::revision).orElse(KeyValueStore.ABSENT);
        ConfigDocument next = change.toDocument(number + 1, wallClock.millis());
        return keepHistory(current, 1).thenCompose(kept -> {
            if (!kept) {
                return unavailable("the superseded document could not be kept", false);
            }
            return swap(next, revision, 1);
        });
    }

    /** Writes the superseded document to its history key, for later rollbacks. */
    private CompletionStage<Boolean> keepHistory(Optional<ConfigDocument> superseded, int attempt) {
        if (superseded.isEmpty()) {
            return CompletableFuture.completedFuture(true);
        }
        String key = ConfigKeys.history(superseded.get().number());
        ByteString value = superseded.get().toBytes();
        return store.compareAndSwap(key, KeyValueStore.ABSENT, value, OptionalLong.empty())
                .thenCompose(result -> {
                    if (result instanceof WriteResult.Unknown && attempt < MAX_ATTEMPTS) {
                        return keepHistory(superseded, attempt + 1);
                    }
                    boolean kept = result instanceof WriteResult.Done
                            || (result instanceof WriteResult.Conflict conflict && hasValue(conflict.current(), value));
                    return CompletableFuture.completedFuture(kept);
                });
    }

    private static boolean hasValue(Optional<Versioned> entry, ByteString value) {
        return entry.isPresent() && entry.get().value().equals(value);
    }

    /** Replaces the current document; repeats the same compare-and-swap while its reply is lost. */
    private CompletionStage<Outcome> swap(ConfigDocument next, long revision, int attempt) {
        return store.compareAndSwap(ConfigKeys.CURRENT, revision, next.toBytes(), OptionalLong.empty())
                .thenCompose(result -> onSwapResult(next, revision, attempt, result));
    }

    private CompletionStage<Outcome> onSwapResult(ConfigDocument next, long revision, int attempt, WriteResult result) {
        if (result instanceof WriteResult.Done) {
            return written(next);
        }
        if (result instanceof WriteResult.Conflict conflict) {
            return resolveConflict(next, conflict.current());
        }
        if (result instanceof WriteResult.Unknown unknown) {
            return retrySwap(next, revision, attempt, unknown.reason(), true);
        }
        return retrySwap(next, revision, attempt, ((WriteResult.Unavailable) result).reason(), attempt > 1);
    }

    private CompletionStage<Outcome> retrySwap(
            ConfigDocument next, long revision, int attempt, String reason, boolean mayBeWritten) {
        if (attempt >= MAX_ATTEMPTS || !mayBeWritten) {
            return unavailable(reason, mayBeWritten);
        }
        return swap(next, revision, attempt + 1);
    }

    private CompletionStage<Outcome> resolveConflict(ConfigDocument next, Optional<Versioned> entry) {
        Optional<ConfigDocument> current = entry.flatMap(found -> ConfigDocument.fromBytes(found.value()));
        if (current.isEmpty()) {
            return unavailable(ConfigKeys.CURRENT + " was deleted", true);
        }
        if (current.get().changeId().equals(next.changeId())) {
            return written(current.get());
        }
        ProposedChange change =
                new ProposedChange(next.number() - 1, next.changeId(), next.author(), next.comment(), next.rulesText());
        return findInHistory(change, current.get());
    }

    /** Looks for a change that was written and then superseded: the history has it under its number. */
    private CompletionStage<Outcome> findInHistory(ProposedChange change, ConfigDocument current) {
        long number = change.baseNumber() + 1;
        if (current.number() <= number) {
            return notWritten(new ProposalResult.Conflict(current));
        }
        return store.read(ConfigKeys.history(number)).thenCompose(result -> {
            if (!(result instanceof ReadResult.Found found)) {
                return unavailable("the store did not answer", true);
            }
            return found.entries().stream()
                    .findFirst()
                    .flatMap(entry -> ConfigDocument.fromBytes(entry.value()))
                    .filter(document -> document.changeId().equals(change.changeId()))
                    .map(ConfigWriter::written)
                    .orElseGet(() -> notWritten(new ProposalResult.Conflict(current)));
        });
    }

    private static CompletionStage<Outcome> written(ConfigDocument document) {
        return CompletableFuture.completedFuture(new Outcome.Written(document));
    }

    private static CompletionStage<Outcome> notWritten(ProposalResult result) {
        return CompletableFuture.completedFuture(new Outcome.NotWritten(result));
    }

    private static CompletionStage<Outcome> unavailable(String reason, boolean mayBeWritten) {
        return notWritten(new ProposalResult.Unavailable(reason, mayBeWritten));
    }
}
