package baobabcroft.external.etcd;

/**
 * What became of one call.
 *
 * @param <T> the message that answers it
 */
sealed interface Reply<T> {
    /** The service answered. */
    record Answered<T>(T message) implements Reply<T> {}

    /** The service refused the call and did nothing. */
    record Refused<T>(int httpStatus, String reason) implements Reply<T> {}

    /** The call may have reached the service and its answer is lost. */
    record Lost<T>(String reason, boolean timedOut) implements Reply<T> {}

    /** No connection could be opened, so nothing was sent. */
    record Unreached<T>(String reason, boolean timedOut) implements Reply<T> {}
}
