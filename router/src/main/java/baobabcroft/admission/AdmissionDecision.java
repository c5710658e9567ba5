package baobabcroft.admission;

import baobabcroft.common.ErrorCode;

/** Outcome of offering a request to an {@link AdmissionQueue}. */
public sealed interface AdmissionDecision {
    /**
     * The request was started at once.
     *
     * @param ticket must be closed when the request ends
     */
    record Started(AdmissionTicket ticket) implements AdmissionDecision {}

    /**
     * The request waits in the queue. The queue starts or refuses it later through its {@link PendingRequest}.
     *
     * @param ticket must be closed when the request ends or its caller disconnects
     */
    record Queued(AdmissionTicket ticket) implements AdmissionDecision {}

    /**
     * The request is refused; no part of it was executed.
     *
     * @param code the reason for the refusal
     * @param retryAfterMillis delay after which the caller should retry, in milliseconds
     */
    record Refused(ErrorCode code, long retryAfterMillis) implements AdmissionDecision {}
}
