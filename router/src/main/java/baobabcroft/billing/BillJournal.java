package baobabcroft.billing;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.external.Backoff;
import baobabcroft.external.KeyValueStore;
import baobabcroft.external.OutageDetector;
import baobabcroft.external.Versioned;
import baobabcroft.external.WriteResult;
import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import com.google.common.util.concurrent.MoreExecutors;
import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Writes the bills of one process of an instance to the store, in segments under the instance's name. Bills are
 * appended to the last segment with group commit.
 *
 * <p>No other process writes these keys. A conflict therefore normally means that an earlier write of this journal took
 * effect although its reply was lost; if the stored value differs, the journal continues in a new segment.
 *
 * <p>Thread-safe: all mutable state except the counter and the outage detector is confined to a sequential executor.
 */
final class BillJournal {
    /** Prefix of the store keys of all journals. */
    static final String PREFIX = "bills/";

    private static final EventLog LOG = EventLog.of(BillJournal.class);
    private static final int MAX_COMMIT_BILLS = 2_000;

    private final String instance;
    private final BillingContext context;
    private final BillingSettings settings;
    private final Executor sequential;
    private final Backoff backoff;
    private final OutageDetector outageDetector;
    private final ArrayDeque<PendingBill> queue = new ArrayDeque<>();
    private final AtomicInteger pendingCount = new AtomicInteger();
    private List<Bill> segment = new ArrayList<>();
    private int segmentNumber;
    private long revision = KeyValueStore.ABSENT;
    private long commitStartedAtNanos;
    private boolean commitInProgress;

    private record PendingBill(Bill bill, CompletableFuture<Void> durable) {}

    /** One commit: the complete next value of the segment, and the bills that it adds. */
    private record Commit(List<Bill> bills, ByteString value, List<PendingBill> added) {}

    BillJournal(String instance, BillingContext context, BillingSettings settings) {
        this.instance = checkNotNull(instance);
        this.context = context;
        this.settings = settings;
        this.sequential = MoreExecutors.newSequentialExecutor(context.executor());
        this.backoff = new Backoff(settings.backoffMinMillis(), settings.backoffMaxMillis(), context.random());
        this.outageDetector = new OutageDetector(context.ticker(), settings.backoffMaxMillis());
        this.commitStartedAtNanos =
                context.ticker().read() - TimeUnit.MILLISECONDS.toNanos(settings.commitIntervalMillis());
    }

    /** Appends a bill, retrying until it is stored; the returned stage completes then. */
    CompletionStage<Void> append(Bill bill) {
        PendingBill pendingBill = new PendingBill(bill, new CompletableFuture<>());
        pendingCount.incrementAndGet();
        sequential.execute(() -> {
            queue.add(pendingBill);
            if (!commitInProgress) {
                scheduleCommit();
            }
        });
        return pendingBill.durable();
    }

    /** Returns whether the most recent calls to the store failed. */
    boolean isStoreUnavailable() {
        return outageDetector.isOutage();
    }

    /** Returns the number of appended bills that are not stored yet. */
    int pendingCount() {
        return pendingCount.get();
    }

    private void scheduleCommit() {
        commitInProgress = !queue.isEmpty();
        if (!commitInProgress) {
            return;
        }
        long sinceMillis = TimeUnit.NANOSECONDS.toMillis(context.ticker().read() - commitStartedAtNanos);
        long waitMillis = settings.commitIntervalMillis() - sinceMillis;
        if (waitMillis > 0) {
            scheduleSequential(waitMillis, this::commitQueue);
        } else {
            commitQueue();
        }
    }

    private void commitQueue() {
        List<PendingBill> added = new ArrayList<>();
        List<Bill> bills = new ArrayList<>(segment);
        while (!queue.isEmpty() && added.size() < MAX_COMMIT_BILLS) {
            PendingBill next = queue.poll();
            added.add(next);
            bills.add(next.bill());
        }
        write(new Commit(bills, BillCodec.encode(bills), added));
    }

    private void write(Commit commit) {
        commitStartedAtNanos = context.ticker().read();
        context.store()
                .compareAndSwap(key(), revision, commit.value(), OptionalLong.empty())
                .exceptionally(e -> new WriteResult.Unknown(String.valueOf(e.getMessage())))
                .thenAcceptAsync(result -> onWriteResult(commit, result), sequential)
                .exceptionally(e -> {
                    LOG.logFailure(LogEvent.COMMIT_FAILED, e, "bills");
                    return null;
                });
    }

    private void onWriteResult(Commit commit, WriteResult result) {
        if (result instanceof WriteResult.Done done) {
            onStored(commit, done.revision());
        } else if (result instanceof WriteResult.Conflict conflict) {
            onConflict(commit, conflict);
        } else {
            context.count(result instanceof WriteResult.Unknown ? "commit.unknown" : "commit.unavailable");
            outageDetector.recordFailure();
            scheduleSequential(backoff.nextDelayMillis(), () -> write(commit));
        }
    }

    private void onConflict(Commit commit, WriteResult.Conflict conflict) {
        boolean alreadyWritten = conflict.current()
                .filter(current -> current.value().equals(commit.value()))
                .isPresent();
        if (alreadyWritten) {
            onStored(commit, conflict.current().map(Versioned::revision).orElseThrow());
            return;
        }
        context.count("commit.conflict");
        LOG.log(LogEvent.JOURNAL_SEGMENT_CONFLICT, key());
        startSegment();
        commit.added().forEach(queue::addFirst);
        commitQueue();
    }

    private void onStored(Commit commit, long newRevision) {
        context.count("commit.done");
        backoff.reset();
        outageDetector.recordSuccess();
        segment = commit.bills();
        revision = newRevision;
        if (commit.value().size() >= settings.segmentBytes()) {
            startSegment();
        }
        pendingCount.addAndGet(-commit.added().size());
        commit.added().forEach(pendingBill -> pendingBill.durable().complete(null));
        scheduleCommit();
    }

    private void startSegment() {
        segment = new ArrayList<>();
        segmentNumber++;
        revision = KeyValueStore.ABSENT;
    }

    private String key() {
        return PREFIX + instance + "/" + "%06d".formatted(segmentNumber);
    }

    private void scheduleSequential(long delayMillis, Runnable task) {
        context.scheduler().schedule(delayMillis, () -> sequential.execute(task));
    }
}
