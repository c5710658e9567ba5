package baobabcroft.standin.kv;

import baobabcroft.external.etcd.EtcdMessages;
import com.google.common.collect.ImmutableSet;
import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** Leases and the keys attached to each. Not thread-safe. */
final class Leases {
    private static final long MILLIS_PER_SECOND = 1_000;

    private final Map<Long, Lease> leases = new HashMap<>();
    private long lastId = 1_000;

    private static final class Lease {
        private final long ttlSeconds;
        private final Set<ByteString> keys = new LinkedHashSet<>();
        private long expiresAtMillis;

        private Lease(long ttlSeconds) {
            this.ttlSeconds = ttlSeconds;
        }

        private void renew(long nowMillis) {
            expiresAtMillis = nowMillis + ttlSeconds * MILLIS_PER_SECOND;
        }
    }

    long grant(EtcdMessages.LeaseGrantRequest request, long nowMillis) {
        long id = request.id() == 0 ? ++lastId : request.id();
        Lease lease = new Lease(request.ttlSeconds());
        lease.renew(nowMillis);
        leases.put(id, lease);
        return id;
    }

    /** Renews a lease and returns its time to live in seconds, or 0 if the lease does not exist. */
    long renew(long id, long nowMillis) {
        Lease lease = leases.get(id);
        if (lease == null) {
            return 0;
        }
        lease.renew(nowMillis);
        return lease.ttlSeconds;
    }

    void attach(long id, ByteString key) {
        Lease lease = leases.get(id);
        if (lease == null) {
            throw KeyValueRefusal.unknownLease();
        }
        lease.keys.add(key);
    }

    void detach(long id, ByteString key) {
        Lease lease = leases.get(id);
        if (lease != null) {
            lease.keys.remove(key);
        }
    }

    /** Removes a lease and returns the keys attached to it. */
    Set<ByteString> remove(long id) {
        Lease lease = leases.remove(id);
        if (lease == null) {
            throw KeyValueRefusal.unknownLease();
        }
        return ImmutableSet.copyOf(lease.keys);
    }

    Set<Long> expiredAt(long nowMillis) {
        Set<Long> expired = new HashSet<>();
        leases.forEach((id, lease) -> {
            if (lease.expiresAtMillis <= nowMillis) {
                expired.add(id);
            }
        });
        return expired;
    }

    Set<Long> allIds() {
        return ImmutableSet.copyOf(leases.keySet());
    }
}
