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
 * Bills that one run of one instance writes: segments under its own name, one growing at a time, with group commit.
 *
 * <p>Nobody else writes these keys, so a conflict means that an earlier write of its own took effect unnoticed.
 * Thread-safe: all state belongs to a sequential executor.
 */
final class BillJournal {
    /** Prefix of the keys of all journals. */
    static final String PREFIX = "bills/";

    private static final EventLog LOG = EventLog.of(BillJournal.class);
    private static final int MAX_COMMIT_BILLS = 2_000;

    private final String instance;
    private final BillingContext context;
    private final BillingSettings settings;
    private final Executor sequential;
    private final Backoff backoff;
    private final OutageDetector outage;
    private final ArrayDeque<Waiting> queue = new ArrayDeque<>();
    private final AtomicInteger waitingCount = new AtomicInteger();
    private List<Bill> segment = new ArrayList<>();
    private int segmentNumber;
    private long revision = KeyValueStore.ABSENT;
    private long commitStartedAtNanos;
    private boolean busy;

    private record Waiting(Bill bill, CompletableFuture<Void> durable) {}

    /** One commit: the segment's whole next value, and the bills that are new in it. */
    private record Commit(List<Bill> bills, ByteString value, List<Waiting> added) {}

    BillJournal(String instance, BillingContext context, BillingSettings settings) {
        this.instance = checkNotNull(instance);
        this.context = context;
        this.settings = settings;
        this.sequential = MoreExecutors.newSequentialExecutor(context.executor());
        this.backoff = new Backoff(settings.backoffMinMillis(), settings.backoffMaxMillis(), context.random());
        this.outage = new OutageDetector(context.ticker(), settings.backoffMaxMillis());
        this.commitStartedAtNanos = context.ticker().read() - TimeUnit.MILLISECONDS.toNanos(settings.windowMillis());
    }

    /** Appends a bill and tries until it is stored. */
    CompletionStage<Void> append(Bill bill) {
        Waiting waiting = new Waiting(bill, new CompletableFuture<>());
        waitingCount.incrementAndGet();
        sequential.execute(() -> {
            queue.add(waiting);
            if (!busy) {
                pump();
            }
        });
        return waiting.durable();
    }

    /** Returns whether the last calls of the store failed. */
    boolean isOut() {
        return outage.isOutage();
    }

    /** Returns how many bills are not stored yet. */
    int waitingCount() {
        return waitingCount.get();
    }

    private void pump() {
        busy = !queue.isEmpty();
        if (!busy) {
            return;
        }
        long sinceMillis = TimeUnit.NANOSECONDS.toMillis(context.ticker().read() - commitStartedAtNanos);
        long waitMillis = settings.windowMillis() - sinceMillis;
        if (waitMillis > 0) {
            later(waitMillis, this::commitQueue);
        } else {
            commitQueue();
        }
    }

    private void commitQueue() {
        List<Waiting> added = new ArrayList<>();
        List<Bill> bills = new ArrayList<>(segment);
        while (!queue.isEmpty() && added.size() < MAX_COMMIT_BILLS) {
            Waiting next = queue.poll();
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
                .thenAcceptAsync(result -> written(commit, result), sequential)
                .exceptionally(e -> {
                    LOG.logFailure(LogEvent.COMMIT_FAILED, e, "bills");
                    return null;
                });
    }

    private void written(Commit commit, WriteResult result) {
        if (result instanceof WriteResult.Done done) {
            stored(commit, done.revision());
        } else if (result instanceof WriteResult.Conflict conflict) {
            afterConflict(commit, conflict);
        } else {
            context.count(result instanceof WriteResult.Unknown ? "commit.unknown" : "commit.unavailable");
            outage.recordFailure();
            later(backoff.nextDelayMillis(), () -> write(commit));
        }
    }

    private void afterConflict(Commit commit, WriteResult.Conflict conflict) {
        boolean own = conflict.current()
                .filter(current -> current.value().equals(commit.value()))
                .isPresent();
        if (own) {
            stored(commit, conflict.current().map(Versioned::revision).orElseThrow());
            return;
        }
        context.count("commit.conflict");
        LOG.log(LogEvent.JOURNAL_SEGMENT_CONFLICT, key());
        startSegment();
        commit.added().forEach(queue::addFirst);
        commitQueue();
    }

    private void stored(Commit commit, long newRevision) {
        context.count("commit.done");
        backoff.reset();
        outage.recordSuccess();
        segment = commit.bills();
        revision = newRevision;
        if (commit.value().size() >= settings.segmentBytes()) {
            startSegment();
        }
        waitingCount.addAndGet(-commit.added().size());
        commit.added().forEach(waiting -> waiting.durable().complete(null));
        pump();
    }

    private void startSegment() {
        segment = new ArrayList<>();
        segmentNumber++;
        revision = KeyValueStore.ABSENT;
    }

    private String key() {
        return PREFIX + instance + "/" + "%06d".formatted(segmentNumber);
    }

    private void later(long delayMillis, Runnable task) {
        context.scheduler().schedule(delayMillis, () -> sequential.execute(task));
    }
}
