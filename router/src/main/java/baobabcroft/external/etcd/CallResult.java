package baobabcroft.external.etcd;

/**
 * Outcome of one call.
 *
 * @param <T> type of the response message
 */
sealed interface CallResult<T> {
    /** The service responded. */
    record Success<T>(T message) implements CallResult<T> {}

    /** The service rejected the call, without any effect. */
    record Rejected<T>(int httpStatus, String reason) implements CallResult<T> {}

    /** The call may have reached the service, but its response was lost. */
    record ResponseLost<T>(String reason, boolean timedOut) implements CallResult<T> {}

    /** The call was not sent, because no connection could be opened. */
    record NotSent<T>(String reason, boolean timedOut) implements CallResult<T> {}
}
