package baobabcroft.memory;

import java.util.Locale;

/**
 * What a {@link MemoryReservation} is for. Each use may take a share of the budget; request bodies leave room for the
 * others, so that requests that have been received can be completed.
 */
public enum MemoryUse {
    /** Connections of callers: the objects that each needs, whether it has a request or not. */
    CONNECTION(0.5),
    /** Heads of requests, from their first byte until the request has ended. */
    REQUEST_HEAD(0.5),
    /** Bodies of requests, until the request has ended. */
    REQUEST_BODY(0.75),
    /** Requests that are received while an earlier one on the same connection is served. */
    PIPELINED(0.125),
    /** Answers of endpoints that are received whole. */
    ANSWER(0.25),
    /** Events of streams that are not complete yet. */
    EVENT(0.25),
    /** Answers and stream data that callers have not taken yet. */
    UNSENT(0.5);

    private final double share;

    MemoryUse(double share) {
        this.share = share;
    }

    /** Returns the share of the budget that all reservations of this use may take together. */
    double share() {
        return share;
    }

    /**
     * Returns the name of the use in metrics.
     *
     * @return lower-case words joined by underscores
     */
    public String metricName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
