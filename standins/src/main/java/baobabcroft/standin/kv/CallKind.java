package baobabcroft.standin.kv;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** Kinds of calls to the key-value service, each with its own counter. */
public enum CallKind {
    /** Reads. */
    RANGE("/v3/kv/range"),
    /** Unconditional writes. */
    PUT("/v3/kv/put"),
    /** Transactions. */
    TXN("/v3/kv/txn"),
    /** Deletions. */
    DELETE_RANGE("/v3/kv/deleterange"),
    /** Lease grants. */
    LEASE_GRANT("/v3/lease/grant"),
    /** Lease renewals. */
    LEASE_KEEP_ALIVE("/v3/lease/keepalive"),
    /** Lease revocations. */
    LEASE_REVOKE("/v3/lease/revoke"),
    /** Watch creations. */
    WATCH("/v3/watch");

    private final String path;

    CallKind(String path) {
        this.path = path;
    }

    static Optional<CallKind> ofPath(String path) {
        return Arrays.stream(values()).filter(kind -> kind.path.equals(path)).findFirst();
    }

    /**
     * Returns the name of this kind's counter.
     *
     * @return the constant's name in lower case
     */
    public String counterName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
