package baobabcroft.admission;

import baobabcroft.admission.AdmissionDecision.Refused;

/**
 * A request that an {@link AdmissionQueue} starts or refuses. The methods are called under the lock of the queue and
 * must not block.
 */
public interface PendingRequest {
    /**
     * Acquires capacity on an endpoint and schedules the send of the request, without running it on this thread.
     *
     * @return false if no endpoint can take the request now
     */
    boolean tryStart();

    /**
     * Refuses a request that was queued. No part of it was executed.
     *
     * @param refused the reason and the delay before a retry
     */
    void refuse(Refused refused);
}
