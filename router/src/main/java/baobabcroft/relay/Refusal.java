package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.common.ErrorCode;
import baobabcroft.common.Execution;
import java.util.OptionalLong;

/**
 * The final answer that the router itself gives to a request that it does not serve.
 *
 * @param code the reason
 * @param execution whether the request may have run
 * @param retryAfterMillis delay after which the caller may retry, in milliseconds; empty if a retry is not suggested
 */
public record Refusal(ErrorCode code, Execution execution, OptionalLong retryAfterMillis) {
    /** Validates the components. */
    public Refusal {
        checkNotNull(code);
        checkNotNull(execution);
        checkNotNull(retryAfterMillis);
    }

    /**
     * Returns a refusal of a request that has not run, without suggesting a retry.
     *
     * @param code the reason
     * @return the refusal
     */
    public static Refusal of(ErrorCode code) {
        return new Refusal(code, Execution.NOT_RUN, OptionalLong.empty());
    }

    /**
     * Returns a refusal of a request that has not run and may be retried by the caller.
     *
     * @param code the reason
     * @param afterMillis delay before the retry, in milliseconds
     * @return the refusal
     */
    public static Refusal retryAfter(ErrorCode code, long afterMillis) {
        return new Refusal(code, Execution.NOT_RUN, OptionalLong.of(afterMillis));
    }

    /**
     * Returns a refusal of a request that may have run, without suggesting a retry.
     *
     * @param code the reason
     * @return the refusal
     */
    public static Refusal mayHaveRun(ErrorCode code) {
        return new Refusal(code, Execution.MAY_HAVE_RUN, OptionalLong.empty());
    }
}
