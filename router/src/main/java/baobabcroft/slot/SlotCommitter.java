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
 * Commits the transitions of one slot, many in one compare-and-swap and one compare-and-swap at a time.
 *
 * <p>A write whose reply is lost is repeated on the same revision until it is done or conflicts: either way its
 * revision is gone, so it cannot land later. Until then nothing else of this slot is written. Thread-safe: all state
 * belongs to a sequential executor.
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

    /** Submits a transition that is given up after a while, and then undone if it may have been written. */
    <T> CompletionStage<CommitResult<T>> submit(Transition<T> transition, long limitMillis, Transition<?> undo) {
        PendingTransition<T> pending = new PendingTransition<>(transition, Optional.of(undo));
        sequential.execute(() -> enqueueLimited(pending, limitMillis));
        return pending.future();
    }

    /** Submits a transition that is tried until it is committed. */
    <T> CompletionStage<T> submitUntilDone(Transition<T> transition) {
        PendingTransition<T> pending = new PendingTransition<>(transition, Optional.empty());
        sequential.execute(() -> enqueue(pending));
        return pending.future().thenApply(result -> ((CommitResult.Committed<T>) result).value());
    }

    /** Takes note of a newer value that a watch has shown. */
    void observe(Versioned entry) {
        sequential.execute(() -> {
            if (!busy && entry.revision() > revision) {
                adopt(Optional.of(entry));
            }
        });
    }

    /** Makes the next transition read the slot first, as it may have changed unseen. */
    void expire() {
        sequential.execute(() ->
                confirmedAtNanos = context.ticker().read() - TimeUnit.MILLISECONDS.toNanos(settings.freshMillis()));
    }

    private void enqueueLimited(PendingTransition<?> pending, long limitMillis) {
        if (outage.shouldReject()) {
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

    /** Refuses a transition that ran out of time, and undoes it. Action {@code GiveUp} of the specification. */
    private void giveUp(PendingTransition<?> pending) {
        if (pending.isDone()) {
            return;
        }
        refuse(pending, "refused.timeout");
        pending.undoIfSent().ifPresent(undo -> enqueue(new PendingTransition<>(undo, Optional.empty())));
    }

    /** Refuses a transition, unless what is known of the slot settles it without a write. */
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
     * Writes a batch by compare-and-swap. Action {@code Write} of the specification, and {@code RepeatCommit} if an
     * earlier try may have taken effect.
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
                LOG.log(LogEvent.SLOT_WRITE_RESPONSE_LOST, slotName, "repeating the same write");
                retry(() -> write(batch, expectedRevision, true));
            } else {
                context.count("commit.unavailable");
                retry(this::readSlot);
            }
        });
    }

    /** Applies the queue to the newer value. Action {@code Receive} of the specification. */
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

    /** Sends one compare-and-swap of the slot's value. */
    void swap(long expectedRevision, Slot next, Consumer<WriteResult> then) {
        on(
                context.store().compareAndSwap(key, expectedRevision, next.encode(), OptionalLong.empty()),
                WriteResult.Unknown::new,
                then);
    }

    /** Runs a continuation of a call on the sequential executor. */
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
        backoff.reset();
        outage.recordSuccess();
    }

    /** Runs a task after a backoff. */
    void retry(Runnable task) {
        long delayMillis = backoff.nextDelayMillis();
        outage.recordFailure();
        later(delayMillis, task);
    }

    /** Takes a value that this committer has just written. */
    void committed(Slot next, long nextRevision) {
        succeeded();
        conflicts = 0;
        slot = next;
        revision = nextRevision;
        confirmedAtNanos = context.ticker().read();
    }

    /** Takes a value read from the store; the result says whether it could be decoded. */
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

    /** Returns the revision of the value that this committer knows. */
    long revision() {
        return revision;
    }

    /** Returns whether the value that this committer knows lists a segment. */
    boolean listsSegment(String segmentId) {
        return slot.segments().stream().anyMatch(segment -> segment.id().equals(segmentId));
    }

    /** Ends a sealing and goes on with the queue. */
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
