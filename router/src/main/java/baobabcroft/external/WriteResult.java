package baobabcroft.external;

import java.util.Optional;

/** Outcome of a conditional write. */
public sealed interface WriteResult {
    /**
     * The write took effect.
     *
     * @param revision the new revision of the key
     */
    record Done(long revision) implements WriteResult {}

    /**
     * The key was not at the expected revision; nothing was written.
     *
     * @param current the current entry, or empty if the key does not exist
     */
    record Conflict(Optional<Versioned> current) implements WriteResult {}

    /**
     * The write was sent but its response was lost: it may have taken effect, or may still do so.
     *
     * @param reason description of the failure, for logs
     */
    record Unknown(String reason) implements WriteResult {}

    /**
     * The write did not reach the store, or the store rejected it; nothing was written.
     *
     * @param reason description of the failure, for logs
     */
    record Unavailable(String reason) implements WriteResult {}
}
