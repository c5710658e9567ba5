package baobabcroft.relay;

import java.util.function.BooleanSupplier;

/**
 * Permission to send one request to an endpoint. It is asked for when the endpoint is chosen and confirmed when the
 * connection is open, as the endpoint may have stated something else in the meantime. Not thread-safe.
 */
final class SendPermit {
    private final BooleanSupplier onConfirm;
    private final Runnable onRelease;
    private boolean used;

    /**
     * Creates a permit.
     *
     * @param onConfirm returns whether the request may still be sent
     * @param onRelease run if the request was not sent
     */
    SendPermit(BooleanSupplier onConfirm, Runnable onRelease) {
        this.onConfirm = onConfirm;
        this.onRelease = onRelease;
    }

    /** Uses the permit; returns false if the request must not be sent any more. */
    boolean confirm() {
        if (!used && onConfirm.getAsBoolean()) {
            used = true;
            return true;
        }
        return false;
    }

    /** Gives the permit back if it was not used. */
    void release() {
        if (!used) {
            used = true;
            onRelease.run();
        }
    }
}
