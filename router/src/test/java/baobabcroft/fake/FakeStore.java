package baobabcroft.fake;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.external.Versioned;
import baobabcroft.external.WriteResult;
import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * Simulated key-value service of the platform in virtual time, with injectable faults.
 *
 * <p>Each caller uses its own {@link FakeStoreClient}, which can be disconnected independently. A call reaches the
 * store after half the latency, and its reply reaches the client after the other half. A client timeout does not cancel
 * the call. Not thread-safe: everything runs on the thread of the test.
 */
public final class FakeStore {
    private static final int MAX_VALUE_BYTES = 1 << 20;

    private final VirtualTime time;
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final List<FakeStoreClient> clients = new ArrayList<>();
    private long revision = 1;
    private long nextLeaseId = 1;
    private long latencyMillis = 2;
    private boolean down;
    private int repliesToLose;
    private int writesToDelay;
    private long writeDelayMillis;
    private long reads;
    private long writes;
    private long watches;

    private record Entry(ByteString value, long revision, OptionalLong leaseId) {}

    private record Lease(long ttlMillis, long expiresAtMillis) {}

    /** Numbers of calls that reached the store since its creation. A watch counts once, when it is opened. */
    public record Calls(long reads, long writes, long watches) {
        /** Returns the numbers of calls made since an earlier count. */
        public Calls since(Calls earlier) {
            return new Calls(reads - earlier.reads, writes - earlier.writes, watches - earlier.watches);
        }
    }

    /** Creates an empty store. */
    public FakeStore(VirtualTime time) {
        this.time = checkNotNull(time);
    }

    /** Returns a new connection to the store. */
    public FakeStoreClient connect() {
        FakeStoreClient client = new FakeStoreClient(this, time);
        clients.add(client);
        return client;
    }

    /** Stops or restarts the store. It keeps its data; calls in transit when it stops are lost without effect. */
    public void setDown(boolean nowDown) {
        down = nowDown;
        clients.forEach(FakeStoreClient::onReachabilityChanged);
    }

    /** Returns whether the store is stopped. */
    public boolean isDown() {
        return down;
    }

    /** Sets the time from a call to its reply. If it exceeds the client timeout, writes may take effect after it. */
    public void setLatencyMillis(long millis) {
        checkArgument(millis >= 0, "latency must not be negative, was %s", millis);
        latencyMillis = millis;
    }

    /** Returns the time from a call to its reply, in milliseconds. */
    public long latencyMillis() {
        return latencyMillis;
    }

    /** Loses the replies of the next {@code count} conditional writes, after the writes have taken effect. */
    public void loseReplies(int count) {
        repliesToLose = count;
    }

    /** Delays the next {@code count} conditional writes in transit to the store, so that later writes overtake them. */
    public void delayWrites(int count, long delayMillis) {
        writesToDelay = count;
        writeDelayMillis = delayMillis;
    }

    /** Expires a lease immediately, as if its holder had been paused, and removes its keys. */
    public void expireLease(long leaseId) {
        if (leases.remove(leaseId) == null) {
            return;
        }
        List<String> keys = new ArrayList<>();
        entries.forEach((key, entry) -> {
            if (entry.leaseId().equals(OptionalLong.of(leaseId))) {
                keys.add(key);
            }
        });
        keys.forEach(this::remove);
    }

    /** Expires all leases immediately. */
    public void expireLeases() {
        List.copyOf(leases.keySet()).forEach(this::expireLease);
    }

    /** Returns the numbers of calls that have reached the store. */
    public Calls calls() {
        return new Calls(reads, writes, watches);
    }

    /** Returns the current entry of a key, without counting a call. */
    public Optional<Versioned> peek(String key) {
        return Optional.ofNullable(entries.get(key)).map(entry -> versioned(key, entry));
    }

    /** Returns the current entries of all keys with a prefix, without counting a call. */
    public List<Versioned> peekAll(String prefix) {
        List<Versioned> found = new ArrayList<>();
        entries.tailMap(prefix, true).forEach((key, entry) -> {
            if (key.startsWith(prefix)) {
                found.add(versioned(key, entry));
            }
        });
        return found;
    }

    /** Writes a key immediately and unconditionally, as an operator with direct access might. Returns the revision. */
    public long put(String key, ByteString value) {
        return store(key, value, OptionalLong.empty());
    }

    /** Returns the revision of the last change of any key. */
    public long revision() {
        return revision;
    }

    boolean consumeReplyLoss() {
        if (repliesToLose == 0) {
            return false;
        }
        repliesToLose--;
        return true;
    }

    long consumeWriteDelayMillis() {
        if (writesToDelay == 0) {
            return 0;
        }
        writesToDelay--;
        return writeDelayMillis;
    }

    void countRead() {
        reads++;
    }

    void countWrite() {
        writes++;
    }

    void countWatch() {
        watches++;
    }

    WriteResult applySwap(String key, long expectedRevision, ByteString value, OptionalLong leaseId) {
        checkArgument(value.size() <= MAX_VALUE_BYTES, "value of %s is too large: %s bytes", key, value.size());
        Entry current = entries.get(key);
        if ((current == null ? 0 : current.revision()) != expectedRevision) {
            return new WriteResult.Conflict(peek(key));
        }
        if (leaseId.isPresent() && !leases.containsKey(leaseId.getAsLong())) {
            return new WriteResult.Unavailable("lease not found: " + leaseId.getAsLong());
        }
        return new WriteResult.Done(store(key, value, leaseId));
    }

    WriteResult applyDelete(String key, long expectedRevision) {
        Entry current = entries.get(key);
        if (current == null || current.revision() != expectedRevision) {
            return new WriteResult.Conflict(peek(key));
        }
        remove(key);
        return new WriteResult.Done(revision);
    }

    long grant(long ttlMillis) {
        long leaseId = nextLeaseId++;
        extend(leaseId, ttlMillis);
        return leaseId;
    }

    OptionalLong renew(long leaseId) {
        Lease lease = leases.get(leaseId);
        if (lease == null) {
            return OptionalLong.empty();
        }
        extend(leaseId, lease.ttlMillis());
        return OptionalLong.of(lease.ttlMillis());
    }

    private void extend(long leaseId, long ttlMillis) {
        long expiresAtMillis = time.nowMillis() + ttlMillis;
        leases.put(leaseId, new Lease(ttlMillis, expiresAtMillis));
        time.scheduler().schedule(ttlMillis, () -> {
            Lease lease = leases.get(leaseId);
            if (lease != null && lease.expiresAtMillis() <= time.nowMillis()) {
                expireLease(leaseId);
            }
        });
    }

    private long store(String key, ByteString value, OptionalLong leaseId) {
        revision++;
        Entry entry = new Entry(value, revision, leaseId);
        entries.put(key, entry);
        List.copyOf(clients).forEach(client -> client.onChange(key, Optional.of(versioned(key, entry)), revision));
        return revision;
    }

    private void remove(String key) {
        revision++;
        entries.remove(key);
        List.copyOf(clients).forEach(client -> client.onChange(key, Optional.empty(), revision));
    }

    private static Versioned versioned(String key, Entry entry) {
        return new Versioned(key, entry.value(), entry.revision());
    }
}
