package baobabcroft.slot;

/** Kind of a record. Keys of different kinds are never equal. */
public enum RecordKind {
    /** Claim on the execution of a non-idempotent request, with its outcome and bill. */
    CLAIM(1),
    /** Model version that a session is pinned to. */
    PIN(2);

    private final int code;

    RecordKind(int code) {
        this.code = code;
    }

    /** Returns the number hashed into keys. Must not change, because it determines the slot of stored records. */
    int code() {
        return code;
    }
}
