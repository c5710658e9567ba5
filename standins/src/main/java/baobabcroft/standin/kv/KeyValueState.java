package baobabcroft.standin.kv;

import static baobabcroft.external.etcd.EtcdMessages.CompareTarget;

import baobabcroft.external.etcd.EtcdMessages;
import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.Consumer;

/** State of the key-value service: keys, revisions, leases and watches. Callers pass in the time. Thread-safe. */
final class KeyValueState {
    static final int MAX_VALUE_BYTES = 1 << 20;
    private static final int MAX_HISTORY = 10_000;

    private final NavigableMap<ByteString, EtcdMessages.KeyValue> entries =
            new TreeMap<>(ByteString.unsignedLexicographicalComparator());
    private final Deque<EtcdMessages.Event> history = new ArrayDeque<>();
    private final Map<Long, Watcher> watchers = new LinkedHashMap<>();
    private final Leases leases = new Leases();
    private long revision = 1;
    private long compactRevision;
    private long lastWatcher;

    private record Watcher(KeyRange range, Consumer<EtcdMessages.WatchResponse> receiver) {}

    synchronized long revision() {
        return revision;
    }

    synchronized int watchCount() {
        return watchers.size();
    }

    private EtcdMessages.Header header() {
        return new EtcdMessages.Header(revision);
    }

    synchronized EtcdMessages.RangeResponse range(EtcdMessages.RangeRequest request) {
        ImmutableList<EtcdMessages.KeyValue> found = find(new KeyRange(request.key(), request.rangeEnd()));
        return new EtcdMessages.RangeResponse(header(), found, found.size());
    }

    private ImmutableList<EtcdMessages.KeyValue> find(KeyRange range) {
        return entries.tailMap(range.first(), true).entrySet().stream()
                .takeWhile(entry -> range.contains(entry.getKey()))
                .map(Map.Entry::getValue)
                .collect(ImmutableList.toImmutableList());
    }

    synchronized EtcdMessages.PutResponse put(EtcdMessages.PutRequest request) {
        checkSize(request);
        Change change = new Change();
        change.put(request);
        change.commit();
        return new EtcdMessages.PutResponse(header());
    }

    synchronized EtcdMessages.DeleteRangeResponse deleteRange(EtcdMessages.DeleteRangeRequest request) {
        Change change = new Change();
        long deleted = change.delete(request);
        change.commit();
        return new EtcdMessages.DeleteRangeResponse(header(), deleted);
    }

    synchronized EtcdMessages.TxnResponse executeTxn(EtcdMessages.TxnRequest request) {
        boolean succeeded = request.compare().stream().allMatch(this::holds);
        List<EtcdMessages.RequestOp> steps = succeeded ? request.success() : request.failure();
        steps.stream().filter(step -> step.requestPut() != null).forEach(step -> checkSize(step.requestPut()));
        Change change = new Change();
        List<EtcdMessages.ResponseOp> responses = new ArrayList<>();
        steps.forEach(step -> responses.add(execute(step, change)));
        change.commit();
        return new EtcdMessages.TxnResponse(header(), succeeded, responses);
    }

    private EtcdMessages.ResponseOp execute(EtcdMessages.RequestOp step, Change change) {
        if (step.requestPut() != null) {
            change.put(step.requestPut());
            return new EtcdMessages.ResponseOp(null, new EtcdMessages.PutResponse(change.header()), null);
        }
        if (step.requestDeleteRange() != null) {
            long deleted = change.delete(step.requestDeleteRange());
            return new EtcdMessages.ResponseOp(
                    null, null, new EtcdMessages.DeleteRangeResponse(change.header(), deleted));
        }
        return new EtcdMessages.ResponseOp(range(step.requestRange()), null, null);
    }

    private static void checkSize(EtcdMessages.PutRequest request) {
        if (request.value().size() > MAX_VALUE_BYTES) {
            throw KeyValueRefusal.tooLarge();
        }
    }

    private boolean holds(EtcdMessages.Compare condition) {
        EtcdMessages.KeyValue entry = entries.get(condition.key());
        int order = Long.compare(actual(entry, condition.target()), expected(condition));
        return switch (condition.result()) {
            case EQUAL -> order == 0;
            case GREATER -> order > 0;
            case LESS -> order < 0;
            case NOT_EQUAL -> order != 0;
        };
    }

    private static long actual(EtcdMessages.KeyValue entry, CompareTarget target) {
        if (entry == null) {
            return 0;
        }
        return switch (target) {
            case VERSION -> entry.version();
            case CREATE -> entry.createRevision();
            case MOD -> entry.modRevision();
        };
    }

    private static long expected(EtcdMessages.Compare condition) {
        return switch (condition.target()) {
            case VERSION -> condition.version();
            case CREATE -> condition.createRevision();
            case MOD -> condition.modRevision();
        };
    }

    synchronized EtcdMessages.LeaseResponse grant(EtcdMessages.LeaseGrantRequest request, long nowMillis) {
        return new EtcdMessages.LeaseResponse(header(), leases.grant(request, nowMillis), request.ttlSeconds());
    }

    synchronized EtcdMessages.LeaseResponse renew(EtcdMessages.LeaseRequest request, long nowMillis) {
        expireLeases(nowMillis);
        return new EtcdMessages.LeaseResponse(header(), request.id(), leases.renew(request.id(), nowMillis));
    }

    synchronized EtcdMessages.LeaseResponse revoke(EtcdMessages.LeaseRequest request) {
        endLease(request.id());
        return new EtcdMessages.LeaseResponse(header(), 0, 0);
    }

    synchronized void expireLeases(long nowMillis) {
        leases.expiredAt(nowMillis).forEach(this::endLease);
    }

    synchronized void expireAllLeases() {
        leases.allIds().forEach(this::endLease);
    }

    private void endLease(long lease) {
        Change change = new Change();
        leases.remove(lease).forEach(key -> change.delete(new EtcdMessages.DeleteRangeRequest(key, ByteString.EMPTY)));
        change.commit();
    }

    /**
     * Opens a watch and returns its identifier. The receiver is called with the lock held and must not block. If the
     * start revision is compacted, the receiver gets a cancellation with the compact revision and no events.
     */
    synchronized long watch(EtcdMessages.WatchCreateRequest request, Consumer<EtcdMessages.WatchResponse> receiver) {
        long id = ++lastWatcher;
        long start = request.startRevision();
        receiver.accept(new EtcdMessages.WatchResponse(header(), true, false, 0, null));
        if (start > 0 && start <= compactRevision) {
            receiver.accept(new EtcdMessages.WatchResponse(header(), false, true, compactRevision, null));
            return id;
        }
        Watcher watcher = new Watcher(new KeyRange(request.key(), request.rangeEnd()), receiver);
        if (start > 0) {
            notifyWatcher(
                    watcher,
                    history.stream()
                            .filter(event -> event.kv().modRevision() >= start)
                            .toList());
        }
        watchers.put(id, watcher);
        return id;
    }

    synchronized void unwatch(long id) {
        watchers.remove(id);
    }

    /** Discards the change history, so that no watch can start at a revision up to the current one. */
    synchronized void compact() {
        history.clear();
        compactRevision = revision;
    }

    private void notifyWatcher(Watcher watcher, List<EtcdMessages.Event> events) {
        List<EtcdMessages.Event> matching = events.stream()
                .filter(event -> watcher.range().contains(event.kv().key()))
                .toList();
        if (!matching.isEmpty()) {
            watcher.receiver().accept(new EtcdMessages.WatchResponse(header(), false, false, 0, matching));
        }
    }

    private void appendToHistory(EtcdMessages.Event event) {
        history.add(event);
        if (history.size() > MAX_HISTORY) {
            compactRevision = history.remove().kv().modRevision();
        }
    }

    /** Writes that take effect together, at one revision. */
    private final class Change {
        private final List<EtcdMessages.Event> events = new ArrayList<>();
        private final long ownRevision = revision + 1;

        private EtcdMessages.Header header() {
            return new EtcdMessages.Header(ownRevision);
        }

        private void put(EtcdMessages.PutRequest request) {
            ByteString key = request.key();
            if (request.lease() != 0) {
                leases.attach(request.lease(), key);
            }
            EtcdMessages.KeyValue old = entries.get(key);
            if (old != null && old.lease() != request.lease()) {
                leases.detach(old.lease(), key);
            }
            EtcdMessages.KeyValue written = new EtcdMessages.KeyValue(
                    key,
                    old == null ? ownRevision : old.createRevision(),
                    ownRevision,
                    old == null ? 1 : old.version() + 1,
                    request.value(),
                    request.lease());
            entries.put(key, written);
            events.add(new EtcdMessages.Event(EtcdMessages.EventType.PUT, written));
        }

        private long delete(EtcdMessages.DeleteRangeRequest request) {
            List<EtcdMessages.KeyValue> deleted = find(new KeyRange(request.key(), request.rangeEnd()));
            deleted.forEach(this::delete);
            return deleted.size();
        }

        private void delete(EtcdMessages.KeyValue old) {
            entries.remove(old.key());
            leases.detach(old.lease(), old.key());
            EtcdMessages.KeyValue tombstone =
                    new EtcdMessages.KeyValue(old.key(), 0, ownRevision, 0, ByteString.EMPTY, 0);
            events.add(new EtcdMessages.Event(EtcdMessages.EventType.DELETE, tombstone));
        }

        private void commit() {
            if (events.isEmpty()) {
                return;
            }
            revision = ownRevision;
            events.forEach(KeyValueState.this::appendToHistory);
            watchers.values().forEach(watcher -> notifyWatcher(watcher, events));
        }
    }
}
