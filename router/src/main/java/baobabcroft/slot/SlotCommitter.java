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
 * cases the slot has moved past that revision, so a delayed copy of the write can no longer take effect. Until then
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
    private long confirmedAtNanos;
    private long commitStartedAtNanos;
    private boolean busy;
    private boolean waitingForWindow;
    private int conflicts;

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
        this.commitStartedAtNanos = context.ticker().read() - TimeUnit.MILLISECONDS.toNanos(settings.windowMillis());
    }

    /** Submits a transition with a timeout, after which it is undone if a write was sent. */
    <T> CompletionStage<CommitResult<T>> submit(Transition<T> transition, long limitMillis, Transition<?> undo) {
        PendingTransition<T> pending = new PendingTransition<>(transition, Optional.of(undo));
        sequential.execute(() -> enqueueLimited(pending, limitMillis));
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
            if (!busy && entry.revision() > revision) {
                adopt(Optional.of(entry));
            }
        });
    }

    /** Forces a read before the next commit, because the slot may have changed without a watch event. */
    void expire() {
        sequential.execute(() ->
                confirmedAtNanos = context.ticker().read() - TimeUnit.MILLISECONDS.toNanos(settings.freshMillis()));
    }

    private void enqueueLimited(PendingTransition<?> pending, long limitMillis) {
        if (outage.refuses()) {
            refuse(pending, "refused.outage");
            return;
        }
        if (queue.size() >= settings.maxQueued() || slot.sizeBytes() > MAX_SLOT_BYTES) {
            refuse(pending, "refused.slot_full");
            return;
        }
        context.scheduler().schedule(limitMillis, () -> sequential.execute(() -> giveUp(pending)));
        enqueue(pending);
    }

    private void enqueue(PendingTransition<?> pending) {
        queue.add(pending);
        if (!busy) {
            pump();
        }
    }

    /** Rejects a transition whose timeout has passed, and undoes it. Action {@code GiveUp} of the specification. */
    private void giveUp(PendingTransition<?> pending) {
        if (pending.isDone()) {
            return;
        }
        refuse(pending, "refused.timeout");
        pending.undoIfSent().ifPresent(undo -> enqueue(new PendingTransition<>(undo, Optional.empty())));
    }

    /** Rejects a transition, unless the cached value of the slot is enough to complete it without a write. */
    private void refuse(PendingTransition<?> pending, String reason) {
        Batch known = apply(ImmutableList.of(pending));
        if (!known.isEmpty() && !known.writes()) {
            known.complete();
            return;
        }
        context.count(reason);
        pending.refuse(settings.backoffMaxMillis());
    }

    private void pump() {
        busy = false;
        queue.removeIf(PendingTransition::isDone);
        if (queue.isEmpty() || waitingForWindow) {
            return;
        }
        long waitMillis = settings.windowMillis() - millisSince(commitStartedAtNanos);
        if (waitMillis > 0) {
            waitingForWindow = true;
            later(waitMillis, this::endWindow);
            return;
        }
        busy = true;
        if (revision != UNKNOWN_REVISION && millisSince(confirmedAtNanos) < settings.freshMillis()) {
            applyQueue();
        } else {
            readSlot();
        }
    }

    private void endWindow() {
        waitingForWindow = false;
        if (!busy) {
            pump();
        }
    }

    /** Reads the slot. Action {@code Read} of the specification. */
    private void readSlot() {
        queue.removeIf(PendingTransition::isDone);
        if (queue.isEmpty()) {
            pump();
            return;
        }
        on(context.store().read(key), ReadResult.Unavailable::new, result -> {
            if (result instanceof ReadResult.Found found
                    && adopt(found.entries().stream().findFirst())) {
                succeeded();
                applyQueue();
            } else {
                context.count("read.unavailable");
                retry(this::readSlot);
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
        pump();
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
        on(all, reason -> false, loaded -> {
            if (loaded) {
                succeeded();
                applyQueue();
            } else {
                context.count("read.unavailable");
                retry(this::readSlot);
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
        swap(expectedRevision, next, result -> {
            if (result instanceof WriteResult.Done done) {
                context.count("commit.done");
                committed(next, done.revision());
                batch.complete();
                sealOrPump();
            } else if (result instanceof WriteResult.Conflict conflict) {
                context.count("commit.conflict");
                afterConflict(conflict);
            } else if (result instanceof WriteResult.Unknown || mayHaveTakenEffect) {
                context.count("commit.unknown");
                LOG.log(LogEvent.CLAIM_REPLY_LOST, slotName, "repeating the same write");
                retry(() -> write(batch, expectedRevision, true));
            } else {
                context.count("commit.unavailable");
                retry(this::readSlot);
            }
        });
    }

    /** Applies the queue again, to the value that caused the conflict. Action {@code Receive} of the specification. */
    private void afterConflict(WriteResult.Conflict conflict) {
        succeeded();
        if (!adopt(conflict.current())) {
            retry(this::readSlot);
            return;
        }
        conflicts++;
        if (conflicts == 1) {
            applyQueue();
            return;
        }
        long spreadMillis = settings.backoffMinMillis() * Math.min(conflicts, 10);
        later((long) (spreadMillis * context.randomFraction()), this::applyQueue);
    }

    private void sealOrPump() {
        if (slot.sizeBytes() <= settings.sealBytes()) {
            pump();
            return;
        }
        Slot.Sealing sealing = slot.seal(context.clock().millis());
        boolean worthwhile = sealing.remaining().sizeBytes() <= slot.sizeBytes() - settings.sealBytes() / 2;
        if (!worthwhile) {
            pump();
            return;
        }
        new SlotSealer(this, slotName, context, segments).seal(sealing);
    }

    /** Sends one compare-and-swap of the slot's value and passes its result to a callback. */
    void swap(long expectedRevision, Slot next, Consumer<WriteResult> then) {
        on(
                context.store().compareAndSwap(key, expectedRevision, next.encode(), OptionalLong.empty()),
                WriteResult.Unknown::new,
                then);
    }

    /** Runs a callback with the result of a call, on the sequential executor. An exception is converted to a result. */
    <T> void on(CompletionStage<T> call, Function<String, T> onException, Consumer<T> then) {
        call.exceptionally(e -> onException.apply(String.valueOf(e.getMessage())))
                .thenAcceptAsync(then, sequential)
                .exceptionally(e -> {
                    LOG.logFailure(LogEvent.COMMIT_FAILED, e, slotName);
                    sequential.execute(() -> retry(this::readSlot));
                    return null;
                });
    }

    private void succeeded() {
        backoff.succeeded();
        outage.succeeded();
    }

    /** Records a failed call and runs a task after the backoff delay. */
    void retry(Runnable task) {
        long delayMillis = backoff.failed();
        outage.failed();
        later(delayMillis, task);
    }

    /** Caches a value that was just written. */
    void committed(Slot next, long nextRevision) {
        succeeded();
        conflicts = 0;
        slot = next;
        revision = nextRevision;
        confirmedAtNanos = context.ticker().read();
    }

    /** Caches a value read from the store. Returns whether it could be decoded. */
    boolean adopt(Optional<Versioned> entry) {
        try {
            slot = entry.isPresent() ? Slot.decode(entry.get().value()) : Slot.empty();
            revision = entry.map(Versioned::revision).orElse(KeyValueStore.ABSENT);
            confirmedAtNanos = context.ticker().read();
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
    boolean listsSegment(String segmentId) {
        return slot.segments().stream().anyMatch(segment -> segment.id().equals(segmentId));
    }

    /** Resumes processing of the queue after sealing has finished. */
    void sealingEnded() {
        pump();
    }

    private void later(long delayMillis, Runnable task) {
        context.scheduler().schedule(delayMillis, () -> sequential.execute(task));
    }

    private long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(context.ticker().read() - nanos);
    }
}
