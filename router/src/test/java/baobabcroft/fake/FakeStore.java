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
 * The platform's key-value service in virtual time, with faults that a test switches on and off.
 *
 * <p>Each caller has a {@link FakeStoreClient} of its own, which can be cut off alone. A call reaches the store after
 * half the latency and is answered after the other half; the client gives up after its timeout, while the call goes
 * on. Not thread-safe: everything runs on the test's thread.
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

    /** Calls that reached the store since it was made. A watch counts once when it is opened. */
    public record Calls(long reads, long writes, long watches) {
        /** Returns the calls made since an earlier count. */
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

    /** Stops or restarts the store. It keeps its data; calls on their way when it stops are lost without effect. */
    public void setDown(boolean nowDown) {
        down = nowDown;
        clients.forEach(FakeStoreClient::onReachabilityChanged);
    }

    /** Returns whether the store is stopped. */
    public boolean isDown() {
        return down;
    }

    /** Sets the time from a call to its reply; beyond the clients' timeout, writes land after the client gave up. */
    public void setLatencyMillis(long millis) {
        checkArgument(millis >= 0, "latency must not be negative, was %s", millis);
        latencyMillis = millis;
    }

    /** Returns the time from a call to its reply. */
    public long latencyMillis() {
        return latencyMillis;
    }

    /** Loses the replies of the next conditional writes, after they took effect. */
    public void loseReplies(int count) {
        repliesToLose = count;
    }

    /** Delays the next conditional writes on their way to the store, so that later ones pass them. */
    public void delayWrites(int count, long delayMillis) {
        writesToDelay = count;
        writeDelayMillis = delayMillis;
    }

    /** Ends a lease before its time, as if its holder had been paused. */
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

    /** Ends all leases before their time. */
    public void expireLeases() {
        List.copyOf(leases.keySet()).forEach(this::expireLease);
    }

    /** Returns the calls that reached the store so far. */
    public Calls calls() {
        return new Calls(reads, writes, watches);
    }

    /** Returns a key as it is now, without a call. */
    public Optional<Versioned> peek(String key) {
        return Optional.ofNullable(entries.get(key)).map(entry -> versioned(key, entry));
    }

    /** Returns all keys under a prefix as they are now, without a call. */
    public List<Versioned> peekAll(String prefix) {
        List<Versioned> found = new ArrayList<>();
        entries.tailMap(prefix, true).forEach((key, entry) -> {
            if (key.startsWith(prefix)) {
                found.add(versioned(key, entry));
            }
        });
        return found;
    }

    /** Writes a key at once and unconditionally, as an operator's own tool might. */
    public long put(String key, ByteString value) {
        return store(key, value, OptionalLong.empty());
    }

    /** Returns the revision of the last write to any key. */
    public long revision() {
        return revision;
    }

    boolean takeLostReply() {
        if (repliesToLose == 0) {
            return false;
        }
        repliesToLose--;
        return true;
    }

    long takeWriteDelayMillis() {
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
