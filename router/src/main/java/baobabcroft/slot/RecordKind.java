package baobabcroft.slot;

/** What a record is about. Keys of different kinds never clash. */
public enum RecordKind {
    /** Claim of a non-idempotent request, with its outcome and bill. */
    CLAIM(1),
    /** Version that a session keeps. */
    PIN(2);

    private final int code;

    RecordKind(int code) {
        this.code = code;
    }

    /** Returns the number that keys are hashed with; it never changes. */
    int code() {
        return code;
    }
}
