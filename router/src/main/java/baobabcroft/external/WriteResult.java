package baobabcroft.external;

import java.util.Optional;

/** Outcome of a conditional write. */
public sealed interface WriteResult {
    /**
     * The write took effect.
     *
     * @param revision the revision that the key has now
     */
    record Done(long revision) implements WriteResult {}

    /**
     * The key was not at the expected revision; nothing was written.
     *
     * @param current the key as it is, or empty if it does not exist
     */
    record Conflict(Optional<Versioned> current) implements WriteResult {}

    /**
     * The write was sent and its reply is lost: it may have taken effect, or may yet.
     *
     * @param reason what was seen
     */
    record Unknown(String reason) implements WriteResult {}

    /**
     * The write did not reach the store; nothing was written.
     *
     * @param reason what was seen
     */
    record Unavailable(String reason) implements WriteResult {}
}
