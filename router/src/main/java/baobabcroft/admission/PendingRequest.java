package baobabcroft.admission;

import baobabcroft.admission.AdmissionDecision.Refused;

/** A request that admission starts or refuses. Called under the queue's lock, so it must return at once. */
public interface PendingRequest {
    /**
     * Takes room for the request and arranges its send on another thread or task.
     *
     * @return false if no endpoint has room for it now
     */
    boolean tryStart();

    /**
     * Refuses a request that had been queued. Nothing of it ran.
     *
     * @param refused why, and when to come back
     */
    void refuse(Refused refused);
}
