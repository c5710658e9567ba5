package baobabcroft.endpoint;

import baobabcroft.common.Execution;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/** The result of a call to an endpoint: a response or a failure. */
public sealed interface EndpointResult {
    /**
     * The endpoint sent a response head; the body may not have arrived yet.
     *
     * @param response the response
     */
    record Answered(HttpResponse response) implements EndpointResult {}

    /**
     * The endpoint sent no response.
     *
     * @param kind how the call failed
     * @param reason description of the failure, for error messages
     */
    record Failed(Kind kind, String reason) implements EndpointResult {
        /**
         * Returns whether the endpoint may have executed the call.
         *
         * @return the execution status implied by the kind of failure
         */
        public Execution execution() {
            return kind.execution;
        }
    }

    /** Kinds of failure. */
    enum Kind {
        /** The connection could not be opened; nothing was written. */
        NOT_CONNECTED(Execution.NOT_RUN),
        /** The connection broke after the request may have been written. */
        CONNECTION_LOST(Execution.MAY_HAVE_RUN),
        /** No response arrived within the timeout. */
        TIMED_OUT(Execution.MAY_HAVE_RUN);

        private final Execution execution;

        Kind(Execution execution) {
            this.execution = execution;
        }
    }
}
