package baobabcroft.common;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Thrown when a request is rejected or fails; carries the error code and whether the request may have run. Has no stack
 * trace and no cause.
 */
public final class RouterException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorCode code;
    private final Execution execution;
    private final long retryAfterMillis;

    private RouterException(ErrorCode code, Execution execution, String message, long retryAfterMillis) {
        super(checkNotNull(message), null, false, false);
        this.code = checkNotNull(code);
        this.execution = checkNotNull(execution);
        this.retryAfterMillis = retryAfterMillis;
    }

    /**
     * Returns an exception for a request that did not run and that would be rejected again if sent unchanged.
     *
     * @param code the reason for the rejection or failure
     * @param message description of the problem, sent to the caller
     * @return the exception
     */
    public static RouterException notRun(ErrorCode code, String message) {
        return new RouterException(code, Execution.NOT_RUN, message, -1);
    }

    /**
     * Returns an exception for a request that did not run and that may be retried later.
     *
     * @param code the reason for the rejection or failure
     * @param message description of the problem, sent to the caller
     * @param retryAfterMillis delay before a retry, in milliseconds from now; at least 0
     * @return the exception
     */
    public static RouterException notRun(ErrorCode code, String message, long retryAfterMillis) {
        return new RouterException(code, Execution.NOT_RUN, message, retryAfterMillis);
    }

    /**
     * Returns an exception with the given execution status and no retry delay.
     *
     * @param code the reason for the rejection or failure
     * @param execution whether the request may have run
     * @param message description of the problem, sent to the caller
     * @return the exception
     */
    public static RouterException of(ErrorCode code, Execution execution, String message) {
        return new RouterException(code, execution, message, -1);
    }

    /**
     * Returns the reason for the rejection or failure.
     *
     * @return the error code
     */
    public ErrorCode code() {
        return code;
    }

    /**
     * Returns whether the request may have run.
     *
     * @return the execution status
     */
    public Execution execution() {
        return execution;
    }

    /**
     * Returns the delay before a retry is worthwhile.
     *
     * @return milliseconds from now, or empty if the same request would be rejected again
     */
    public OptionalLong retryAfterMillis() {
        return retryAfterMillis < 0 ? OptionalLong.empty() : OptionalLong.of(retryAfterMillis);
    }

    /**
     * Returns the first router exception in a failure's chain of causes, for example in a {@code CompletionException}.
     *
     * @param failure any failure
     * @return the router exception, or empty if the chain holds none
     */
    public static Optional<RouterException> findIn(Throwable failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (cause instanceof RouterException found) {
                return Optional.of(found);
            }
        }
        return Optional.empty();
    }
}
