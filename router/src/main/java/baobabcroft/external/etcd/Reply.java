package baobabcroft.external.etcd;

/**
 * Outcome of one call.
 *
 * @param <T> type of the response message
 */
sealed interface Reply<T> {
    /** The service responded. */
    record Answered<T>(T message) implements Reply<T> {}

    /** The service rejected the call, without any effect. */
    record Refused<T>(int httpStatus, String reason) implements Reply<T> {}

    /** The call may have reached the service, but its response was lost. */
    record Lost<T>(String reason, boolean timedOut) implements Reply<T> {}

    /** The call was not sent, because no connection could be opened. */
    record Unreached<T>(String reason, boolean timedOut) implements Reply<T> {}
}
