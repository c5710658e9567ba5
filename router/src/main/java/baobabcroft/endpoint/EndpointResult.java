package baobabcroft.endpoint;

import baobabcroft.common.Execution;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/** What came of a call to an endpoint. */
public sealed interface EndpointResult {
    /**
     * The endpoint answered; the body may still be on its way.
     *
     * @param response the answer
     */
    record Answered(HttpResponse response) implements EndpointResult {}

    /**
     * No answer came.
     *
     * @param kind how the call failed
     * @param reason what was seen
     */
    record Failed(Kind kind, String reason) implements EndpointResult {
        /**
         * Returns whether the call may have run.
         *
         * @return the verdict that goes with the kind
         */
        public Execution execution() {
            return kind.execution;
        }
    }

    /** Ways in which a call fails. */
    enum Kind {
        /** No connection was made; nothing was written. */
        NOT_CONNECTED(Execution.NOT_RUN),
        /** The connection broke after the request may have been written. */
        CONNECTION_LOST(Execution.MAY_HAVE_RUN),
        /** No answer came in time. */
        TIMED_OUT(Execution.MAY_HAVE_RUN);

        private final Execution execution;

        Kind(Execution execution) {
            this.execution = execution;
        }
    }
}
