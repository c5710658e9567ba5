package baobabcroft.slot;

import baobabcroft.external.Backoff;
import baobabcroft.external.KeyValueStore;
import baobabcroft.external.OutageDetector;
import baobabcroft.external.ReadResult;
import baobabcroft.external.Versioned;
import baobabcroft.external.WriteResult;
import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import com.google.common.collect.ImmutableList;
import com.google.common.util.concurrent.MoreExecutors;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Commits the transitions of one slot in batches, with one compare-and-swap in flight at a time.
 *
 * <p>A write whose reply is lost is repeated with the same expected revision until it succeeds or conflicts. In both
 * cases the slot has moved past that revision, so a delayed copy of the write can no longer take effect. Until onResult
 * this committer writes nothing else to the slot. The actions named in comments refer to the TLA+ specification {@code
 * Claim.tla}.
 *
 * <p>Thread-safe: all state is confined to a sequential executor.
 */
final class SlotCommitter {
    private static final EventLog LOG = EventLog.of(SlotCommitter.class);
    private static final int MAX_SLOT_BYTES = 768 * 1024;
    private static final long UNKNOWN_REVISION = -1;

    private final String slotName;
    private final String key;
    private final SlotLogContext context;
    private final SlotLogSettings settings;
    private final SegmentCache segments;
    private final OutageDetector outage;
    private final Executor sequential;
    private final Backoff backoff;
    private final ArrayDeque<PendingTransition<?>> queue = new ArrayDeque<>();
    private Slot slot = Slot.empty();
    private long revision = UNKNOWN_REVISION;
    private long cachedAtNanos;
    private long commitStartedAtNanos;
    private boolean commitInProgress;
    private boolean waitingForNextCommit;
    private int consecutiveConflicts;

    SlotCommitter(
            String slotName,
            SlotLogContext context,
            SlotLogSettings settings,
            SegmentCache segments,
            OutageDetector outage) {
        this.slotName = slotName;
        this.key = SlotLog.slotKey(slotName);
        this.context = context;
        this.settings = settings;
        this.segments = segments;
        this.outage = outage;
        this.sequential = MoreExecutors.newSequentialExecutor(context.executor());
        this.backoff = new Backoff(settings.backoffMinMillis(), settings.backoffMaxMillis(), context::randomFraction);
        this.commitStartedAtNanos =
                context.ticker().read() - TimeUnit.MILLISECONDS.toNanos(settings.minCommitIntervalMillis());
    }

    /** Submits a transition with a timeout, after which it is undone if a write was sent. */
    <T> CompletionStage<CommitResult<T>> submit(Transition<T> transition, long timeoutMillis, Transition<?> undo) {
        PendingTransition<T> pending = new PendingTransition<>(transition, Optional.of(undo));
        sequential.execute(() -> enqueueWithTimeout(pending, timeoutMillis));
        return pending.future();
    }

    /** Submits a transition that is retried until it is committed. */
    <T> CompletionStage<T> submitUntilDone(Transition<T> transition) {
        PendingTransition<T> pending = new PendingTransition<>(transition, Optional.empty());
        sequential.execute(() -> enqueue(pending));
        return pending.future().thenApply(result -> ((CommitResult.Committed<T>) result).value());
    }

    /** Updates the cached value with a newer one received from a watch, unless a commit is in progress. */
    void observe(Versioned entry) {
        sequential.execute(() -> {
            if (!commitInProgress && entry.revision() > revision) {
                updateCache(Optional.of(entry));
            }
        });
    }

    /** Forces a read before the next commit, because the slot may have changed without a watch event. */
    void invalidateCache() {
        sequential.execute(() ->
                cachedAtNanos = context.ticker().read() - TimeUnit.MILLISECONDS.toNanos(settings.cacheTtlMillis()));
    }

    private void enqueueWithTimeout(PendingTransition<?> pending, long timeoutMillis) {
        if (outage.shouldReject()) {
            reject(pending, "refused.outage");
            return;
        }
        if (queue.size() >= settings.maxQueued() || slot.sizeBytes() > MAX_SLOT_BYTES) {
            reject(pending, "refused.slot_full");
            return;
        }
        context.scheduler().schedule(timeoutMillis, () -> sequential.execute(() -> timeOut(pending)));
        enqueue(pending);
    }

    private void enqueue(PendingTransition<?> pending) {
        queue.add(pending);
        if (!commitInProgress) {
            processQueue();
        }
    }

    /** Rejects a transition whose timeout has passed, and undoes it. Action {@code GiveUp} of the specification. */
    private void timeOut(PendingTransition<?> pending) {
        if (pending.isDone()) {
            return;
        }
        reject(pending, "refused.timeout");
        pending.undoIfSent().ifPresent(undo -> enqueue(new PendingTransition<>(undo, Optional.empty())));
    }

    /** Rejects a transition, unless the cached value of the slot is enough to complete it without a write. */
    private void reject(PendingTransition<?> pending, String reason) {
        Batch speculative = apply(ImmutableList.of(pending));
        if (!speculative.isEmpty() && !speculative.writes()) {
            speculative.complete();
            return;
        }
        context.count(reason);
        pending.reject(settings.backoffMaxMillis());
    }

    private void processQueue() {
        commitInProgress = false;
        queue.removeIf(PendingTransition::isDone);
        if (queue.isEmpty() || waitingForNextCommit) {
            return;
        }
        long waitMillis = settings.minCommitIntervalMillis() - millisSince(commitStartedAtNanos);
        if (waitMillis > 0) {
            waitingForNextCommit = true;
            schedule(waitMillis, this::onCommitIntervalElapsed);
            return;
        }
        commitInProgress = true;
        if (revision != UNKNOWN_REVISION && millisSince(cachedAtNanos) < settings.cacheTtlMillis()) {
            applyQueue();
        } else {
            readSlot();
        }
    }

    private void onCommitIntervalElapsed() {
        waitingForNextCommit = false;
        if (!commitInProgress) {
            processQueue();
        }
    }

    /** Reads the slot. Action {@code Read} of the specification. */
    private void readSlot() {
        queue.removeIf(PendingTransition::isDone);
        if (queue.isEmpty()) {
            processQueue();
            return;
        }
        onCompletion(context.store().read(key), ReadResult.Unavailable::new, result -> {
            if (result instanceof ReadResult.Found found
                    && updateCache(found.entries().stream().findFirst())) {
                recordSuccess();
                applyQueue();
            } else {
                context.count("read.unavailable");
                retryAfterBackoff(this::readSlot);
            }
        });
    }

    private void applyQueue() {
        queue.removeIf(PendingTransition::isDone);
        Batch batch = apply(queue);
        if (!batch.missingSegments().isEmpty()) {
            loadSegments(batch.missingSegments());
            return;
        }
        if (batch.writes()) {
            write(batch, revision, false);
            return;
        }
        batch.complete();
        processQueue();
    }

    private Batch apply(Iterable<PendingTransition<?>> transitions) {
        return Batch.apply(
                slot,
                recordKey -> segments.find(slotName, slot.segments(), recordKey),
                transitions,
                context.clock().millis(),
                MAX_SLOT_BYTES);
    }

    private void loadSegments(ImmutableList<SegmentInfo> missing) {
        CompletableFuture<Boolean> all = CompletableFuture.completedFuture(true);
        for (SegmentInfo segment : missing) {
            all = all.thenCombine(segments.load(slotName, segment), Boolean::logicalAnd);
        }
        onCompletion(all, reason -> false, loaded -> {
            if (loaded) {
                recordSuccess();
                applyQueue();
            } else {
                context.count("read.unavailable");
                retryAfterBackoff(this::readSlot);
            }
        });
    }

    /**
     * Writes a batch by compare-and-swap. Action {@code Write} of the specification, or {@code RepeatCommit} if an
     * earlier attempt may have taken effect.
     */
    private void write(Batch batch, long expectedRevision, boolean mayHaveTakenEffect) {
        Slot next = batch.result();
        batch.markSent();
        commitStartedAtNanos = context.ticker().read();
        compareAndSwap(expectedRevision, next, result -> {
            if (result instanceof WriteResult.Done done) {
                context.count("commit.done");
                cacheCommitted(next, done.revision());
                batch.complete();
                sealOrProcessQueue();
            } else if (result instanceof WriteResult.Conflict conflict) {
                context.count("commit.conflict");
                handleConflict(conflict);
            } else if (result instanceof WriteResult.Unknown || mayHaveTakenEffect) {
                context.count("commit.unknown");
                LOG.log(LogEvent.SLOT_WRITE_RESPONSE_LOST, slotName, "repeating the same write");
                retryAfterBackoff(() -> write(batch, expectedRevision, true));
            } else {
                context.count("commit.unavailable");
                retryAfterBackoff(this::readSlot);
            }
        });
    }

    /** Applies the queue again, to the value that caused the conflict. Action {@code Receive} of the specification. */
    private void handleConflict(WriteResult.Conflict conflict) {
        recordSuccess();
        if (!updateCache(conflict.current())) {
            retryAfterBackoff(this::readSlot);
            return;
        }
        consecutiveConflicts++;
        if (consecutiveConflicts == 1) {
            applyQueue();
            return;
        }
        long maxDelayMillis = settings.backoffMinMillis() * Math.min(consecutiveConflicts, 10);
        schedule((long) (maxDelayMillis * context.randomFraction()), this::applyQueue);
    }

    private void sealOrProcessQueue() {
        if (slot.sizeBytes() <= settings.sealThresholdBytes()) {
            processQueue();
            return;
        }
        Slot.SealResult sealing = slot.seal(context.clock().millis());
        boolean worthwhile = sealing.remaining().sizeBytes() <= slot.sizeBytes() - settings.sealThresholdBytes() / 2;
        if (!worthwhile) {
            processQueue();
            return;
        }
        new SlotSealer(this, slotName, context, segments).seal(sealing);
    }

    /** Sends one compare-and-swap of the slot's value and passes its result to a callback. */
    void compareAndSwap(long expectedRevision, Slot next, Consumer<WriteResult> onResult) {
        onCompletion(
                context.store().compareAndSwap(key, expectedRevision, next.encode(), OptionalLong.empty()),
                WriteResult.Unknown::new,
                onResult);
    }

    /** Runs a callback with the result of a call, on the sequential executor. An exception is converted to a result. */
    <T> void onCompletion(CompletionStage<T> call, Function<String, T> onException, Consumer<T> onResult) {
        call.exceptionally(e -> onException.apply(String.valueOf(e.getMessage())))
                .thenAcceptAsync(onResult, sequential)
                .exceptionally(e -> {
                    LOG.logFailure(LogEvent.COMMIT_FAILED, e, slotName);
                    sequential.execute(() -> retryAfterBackoff(this::readSlot));
                    return null;
                });
    }

    private void recordSuccess() {
        backoff.reset();
        outage.recordSuccess();
    }

    /** Records a failed call and runs a task after the backoff delay. */
    void retryAfterBackoff(Runnable task) {
        long delayMillis = backoff.nextDelayMillis();
        outage.recordFailure();
        schedule(delayMillis, task);
    }

    /** Caches a value that was just written. */
    void cacheCommitted(Slot next, long nextRevision) {
        recordSuccess();
        consecutiveConflicts = 0;
        slot = next;
        revision = nextRevision;
        cachedAtNanos = context.ticker().read();
    }

    /** Caches a value read from the store. Returns whether it could be decoded. */
    boolean updateCache(Optional<Versioned> entry) {
        try {
            slot = entry.isPresent() ? Slot.decode(entry.get().value()) : Slot.empty();
            revision = entry.map(Versioned::revision).orElse(KeyValueStore.ABSENT);
            cachedAtNanos = context.ticker().read();
            return true;
        } catch (InvalidProtocolBufferException e) {
            LOG.logFailure(LogEvent.RECORD_UNREADABLE, e, slotName);
            return false;
        }
    }

    /** Returns the revision of the cached value. */
    long revision() {
        return revision;
    }

    /** Returns whether the cached value references a segment. */
    boolean referencesSegment(String segmentId) {
        return slot.segments().stream().anyMatch(segment -> segment.id().equals(segmentId));
    }

    /** Resumes processing of the queue after sealing has finished. */
    void onSealingFinished() {
        processQueue();
    }

    private void schedule(long delayMillis, Runnable task) {
        context.scheduler().schedule(delayMillis, () -> sequential.execute(task));
    }

    private long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(context.ticker().read() - nanos);
    }
}
