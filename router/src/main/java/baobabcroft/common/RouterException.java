package baobabcroft.common;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.OptionalLong;

/** Refusal or failure of a request, with its code and the verdict on whether it may have run. */
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
     * Returns a refusal of a request of which nothing ran and that is not worth repeating as it is.
     *
     * @param code the reason
     * @param message what was wrong, for the caller
     * @return the refusal
     */
    public static RouterException notRun(ErrorCode code, String message) {
        return new RouterException(code, Execution.NOT_RUN, message, -1);
    }

    /**
     * Returns a refusal of a request of which nothing ran and that may be repeated after a while.
     *
     * @param code the reason
     * @param message what was wrong, for the caller
     * @param retryAfterMillis when to come back, in milliseconds from now
     * @return the refusal
     */
    public static RouterException notRun(ErrorCode code, String message, long retryAfterMillis) {
        return new RouterException(code, Execution.NOT_RUN, message, retryAfterMillis);
    }

    /**
     * Returns a failure with the given verdict.
     *
     * @param code the reason
     * @param execution whether the request may have run
     * @param message what was wrong, for the caller
     * @return the failure
     */
    public static RouterException of(ErrorCode code, Execution execution, String message) {
        return new RouterException(code, execution, message, -1);
    }

    /**
     * Returns the reason.
     *
     * @return the error code
     */
    public ErrorCode code() {
        return code;
    }

    /**
     * Returns whether the request may have run.
     *
     * @return the verdict
     */
    public Execution execution() {
        return execution;
    }

    /**
     * Returns when coming back makes sense.
     *
     * @return milliseconds from now, or empty when the same request would be refused again
     */
    public OptionalLong retryAfterMillis() {
        return retryAfterMillis < 0 ? OptionalLong.empty() : OptionalLong.of(retryAfterMillis);
    }

    /**
     * Returns the router exception behind a failure, looking through completion wrappers.
     *
     * @param failure any failure
     * @return the router exception, if there is one in the chain of causes
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
