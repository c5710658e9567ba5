package baobabcroft.admission;

import baobabcroft.common.ErrorCode;

/** What becomes of an offered request. */
public sealed interface AdmissionDecision {
    /**
     * The request was started.
     *
     * @param ticket to be closed when it has ended
     */
    record Started(AdmissionTicket ticket) implements AdmissionDecision {}

    /**
     * The request waits; it will be started or refused through its attempt.
     *
     * @param ticket to be closed when it has ended or its caller went away
     */
    record Queued(AdmissionTicket ticket) implements AdmissionDecision {}

    /**
     * The request is refused and nothing of it ran.
     *
     * @param code the reason
     * @param retryAfterMillis when to come back, in milliseconds from now
     */
    record Refused(ErrorCode code, long retryAfterMillis) implements AdmissionDecision {}
}
