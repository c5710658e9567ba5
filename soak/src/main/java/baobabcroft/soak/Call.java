package baobabcroft.soak;

import java.util.OptionalInt;

/**
 * What a caller saw of one request. Times are in milliseconds since the start of traffic.
 *
 * @param id the request's id
 * @param route where it went
 * @param instance number of the instance that it was sent to
 * @param sentMillis when it was sent
 * @param endedMillis when its outcome was known
 * @param status status of the answer; empty if there was none
 * @param outcome how it ended
 */
record Call(
        String id, Route route, int instance, long sentMillis, long endedMillis, OptionalInt status, Outcome outcome) {
    /** Routes of the configuration. */
    enum Route {
        /** May run several times. */
        LOOKUP,
        /** Must run at most once. */
        ORDER,
        /** Streamed, and resumed at another endpoint if it breaks off. */
        CHAT
    }

    /** How a request ended. */
    enum Outcome {
        /** With an answer that is what endpoints answer, or with an error of the instance. */
        ANSWERED,
        /** With an answer whose content is not what endpoints answer. */
        SPOILT,
        /** Without an answer, as its connection was refused or lost. */
        CONNECTION_FAILED,
        /** Without an answer in the request's time and a margin. */
        TIMED_OUT
    }

    Call minus(long millis) {
        return new Call(id, route, instance, sentMillis - millis, endedMillis - millis, status, outcome);
    }

    boolean isServed() {
        return outcome == Outcome.ANSWERED && status.orElse(0) == 200;
    }

    /** Returns whether the answer guarantees that no endpoint runs the request. */
    boolean saysNotRun() {
        int code = status.orElse(0);
        return code == 408 || code == 421 || code == 429 || code == 503;
    }
}
