package baobabcroft.retry;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.base.Preconditions.checkState;

import baobabcroft.common.Execution;
import com.google.common.collect.ImmutableSet;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The sends of one request to endpoints: where it went, and whether it may have run. Both faces of the router ask it
 * before they send again and before they answer that nothing ran.
 *
 * <p>Invariants: one send is open at a time; the verdict never goes back to {@link Execution#NOT_RUN}; an endpoint that
 * was tried stays tried. Not thread-safe.
 */
public final class RequestAttempts {
    private final boolean repeatable;
    private final int freeSends;
    private final Set<String> tried = new LinkedHashSet<>();
    private Execution execution = Execution.NOT_RUN;
    private boolean open;
    private int sends;
    private int runs;

    private RequestAttempts(boolean repeatable, int freeSends) {
        this.repeatable = repeatable;
        this.freeSends = freeSends;
    }

    /**
     * Returns a request that was not sent yet.
     *
     * @param repeatable whether it may be sent again after it may have run
     * @param freeSends sends that count as no attempt, if nothing ran
     * @return the request's sends
     */
    public static RequestAttempts create(boolean repeatable, int freeSends) {
        checkArgument(freeSends >= 0, "negative freeSends: %s", freeSends);
        return new RequestAttempts(repeatable, freeSends);
    }

    /**
     * Opens a send.
     *
     * @param endpointId where it goes
     * @throws IllegalStateException if another send is open
     */
    public void attemptStarted(String endpointId) {
        checkState(!open, "a send is open already");
        tried.add(checkNotNull(endpointId));
        open = true;
        sends++;
    }

    /**
     * Ends the open send.
     *
     * @param verdict whether the request may have run there
     * @throws IllegalStateException if no send is open
     */
    public void attemptEnded(Execution verdict) {
        checkState(open, "no send is open");
        open = false;
        execution = execution.and(verdict);
        runs += verdict == Execution.NOT_RUN ? 0 : 1;
    }

    /**
     * Lets an endpoint be tried again, because it did nothing wrong.
     *
     * @param endpointId the endpoint
     */
    public void allowAgain(String endpointId) {
        tried.remove(endpointId);
    }

    /**
     * Returns what decides whether to send again, if the open send ended with a verdict.
     *
     * @param verdict the verdict; of the last send if none is open, which then changes nothing
     * @param remainingMillis time until the answer is due, in milliseconds
     * @param expectedMillis least time that another send takes, in milliseconds
     * @return the facts
     */
    public RetryContext retryContext(Execution verdict, long remainingMillis, long expectedMillis) {
        int runsThen = runs + (open && verdict != Execution.NOT_RUN ? 1 : 0);
        int attempts = Math.max(runsThen, sends - freeSends);
        return new RetryContext(execution.and(verdict), repeatable, attempts, remainingMillis, expectedMillis);
    }

    /**
     * Returns the verdict on all sends so far; an open one may have run.
     *
     * @return whether the request may have run
     */
    public Execution execution() {
        return open ? execution.and(Execution.MAY_HAVE_RUN) : execution;
    }

    /**
     * Returns the endpoints that must not get the request again.
     *
     * @return a copy
     */
    public ImmutableSet<String> triedEndpoints() {
        return ImmutableSet.copyOf(tried);
    }

    /**
     * Returns how often the request was sent.
     *
     * @return the count
     */
    public int count() {
        return sends;
    }
}
