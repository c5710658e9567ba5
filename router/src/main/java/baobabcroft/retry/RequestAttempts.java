package baobabcroft.retry;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.base.Preconditions.checkState;

import baobabcroft.common.Execution;
import com.google.common.collect.ImmutableSet;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The attempts of one request: which endpoints it was sent to, and whether it may have run. Both front ends of the
 * router consult it before a retry and before they answer that the request has not run.
 *
 * <p>Invariants: at most one attempt is open; the execution status never returns to {@link Execution#NOT_RUN}; an
 * endpoint stays excluded from retries unless it is explicitly allowed again. Not thread-safe.
 */
public final class RequestAttempts {
    private final boolean repeatable;
    private final int uncountedAttempts;
    private final Set<String> tried = new LinkedHashSet<>();
    private Execution execution = Execution.NOT_RUN;
    private boolean open;
    private int attemptCount;
    private int possibleRuns;

    private RequestAttempts(boolean repeatable, int uncountedAttempts) {
        this.repeatable = repeatable;
        this.uncountedAttempts = uncountedAttempts;
    }

    /**
     * Returns the attempts of a request that was not sent yet.
     *
     * @param repeatable whether the request may be sent again after it may have run
     * @param uncountedAttempts number of attempts that are not counted as long as the request has not run
     * @return the attempts, none so far
     */
    public static RequestAttempts create(boolean repeatable, int uncountedAttempts) {
        checkArgument(uncountedAttempts >= 0, "uncountedAttempts must not be negative: %s", uncountedAttempts);
        return new RequestAttempts(repeatable, uncountedAttempts);
    }

    /**
     * Starts an attempt.
     *
     * @param endpointId id of the endpoint that the request is sent to
     * @throws IllegalStateException if another attempt is open
     */
    public void attemptStarted(String endpointId) {
        checkState(!open, "another attempt is open");
        tried.add(checkNotNull(endpointId));
        open = true;
        attemptCount++;
    }

    /**
     * Ends the open attempt.
     *
     * @param attemptExecution whether the request may have run in this attempt
     * @throws IllegalStateException if no attempt is open
     */
    public void attemptEnded(Execution attemptExecution) {
        checkState(open, "no attempt is open");
        open = false;
        execution = execution.combine(attemptExecution);
        possibleRuns += attemptExecution == Execution.NOT_RUN ? 0 : 1;
    }

    /**
     * Allows further attempts at an endpoint that did not fail.
     *
     * @param endpointId id of the endpoint
     */
    public void allowRetryAt(String endpointId) {
        tried.remove(endpointId);
    }

    /**
     * Returns the input for the decision whether to retry once the open attempt has ended. Does not end the attempt.
     *
     * @param attemptExecution whether the request may have run in the open attempt; that of the last attempt if none is
     *     open, which has no further effect
     * @param remainingMillis time left until the request's deadline, in milliseconds
     * @param expectedMillis minimum time that another attempt takes, in milliseconds
     * @return the input for {@link RetryPolicy#decide}
     */
    public RetryContext retryContext(Execution attemptExecution, long remainingMillis, long expectedMillis) {
        int runsIfEnded = possibleRuns + (open && attemptExecution != Execution.NOT_RUN ? 1 : 0);
        int countedAttempts = Math.max(runsIfEnded, attemptCount - uncountedAttempts);
        return new RetryContext(
                execution.combine(attemptExecution), repeatable, countedAttempts, remainingMillis, expectedMillis);
    }

    /**
     * Returns whether the request may have run in any attempt so far.
     *
     * @return the combined status; an open attempt counts as {@link Execution#MAY_HAVE_RUN}
     */
    public Execution execution() {
        return open ? execution.combine(Execution.MAY_HAVE_RUN) : execution;
    }

    /**
     * Returns the endpoints that are excluded from retries.
     *
     * @return a copy of their ids, in the order of the attempts
     */
    public ImmutableSet<String> triedEndpoints() {
        return ImmutableSet.copyOf(tried);
    }

    /**
     * Returns the number of ended attempts after which the request may have run.
     *
     * @return the count
     */
    public int possibleRuns() {
        return possibleRuns;
    }

    /**
     * Returns the number of attempts, including an open one.
     *
     * @return the count, including attempts that did not run the request
     */
    public int attemptCount() {
        return attemptCount;
    }
}
