package baobabcroft.standin.kv;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** Kinds of calls that the service counts. */
public enum CallKind {
    /** Reads. */
    RANGE("/v3/kv/range"),
    /** Unconditional writes. */
    PUT("/v3/kv/put"),
    /** Transactions. */
    TXN("/v3/kv/txn"),
    /** Deletions. */
    DELETE_RANGE("/v3/kv/deleterange"),
    /** Leases granted. */
    LEASE_GRANT("/v3/lease/grant"),
    /** Leases renewed. */
    LEASE_KEEP_ALIVE("/v3/lease/keepalive"),
    /** Leases revoked. */
    LEASE_REVOKE("/v3/lease/revoke"),
    /** Watches opened. */
    WATCH("/v3/watch");

    private final String path;

    CallKind(String path) {
        this.path = path;
    }

    static Optional<CallKind> ofPath(String path) {
        return Arrays.stream(values()).filter(kind -> kind.path.equals(path)).findFirst();
    }

    /**
     * Returns the name of the counter.
     *
     * @return lower-case words joined by underscores
     */
    public String counterName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
