package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.common.ErrorCode;
import baobabcroft.common.Execution;
import java.util.OptionalLong;

/**
 * The router's own final answer to a request that it does not serve.
 *
 * @param code the reason
 * @param execution whether the request may have run
 * @param retryAfterMillis when to come back, in milliseconds, if that makes sense
 */
public record Refusal(ErrorCode code, Execution execution, OptionalLong retryAfterMillis) {
    /** Checks the parts. */
    public Refusal {
        checkNotNull(code);
        checkNotNull(execution);
        checkNotNull(retryAfterMillis);
    }

    /**
     * Returns a refusal of a request that has not run and for which coming back makes no sense.
     *
     * @param code the reason
     * @return the refusal
     */
    public static Refusal of(ErrorCode code) {
        return new Refusal(code, Execution.NOT_RUN, OptionalLong.empty());
    }

    /**
     * Returns a refusal of a request that has not run and may come back.
     *
     * @param code the reason
     * @param afterMillis when, in milliseconds
     * @return the refusal
     */
    public static Refusal retryAfter(ErrorCode code, long afterMillis) {
        return new Refusal(code, Execution.NOT_RUN, OptionalLong.of(afterMillis));
    }

    /**
     * Returns the answer to a request that may have run.
     *
     * @param code the reason
     * @return the refusal
     */
    public static Refusal mayHaveRun(ErrorCode code) {
        return new Refusal(code, Execution.MAY_HAVE_RUN, OptionalLong.empty());
    }
}
