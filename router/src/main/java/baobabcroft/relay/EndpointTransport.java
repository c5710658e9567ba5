package baobabcroft.relay;

import baobabcroft.directory.EndpointEntry;

/** Sends requests to endpoints. */
@FunctionalInterface
public interface EndpointTransport {
    /**
     * Sends a request.
     *
     * @param endpoint the endpoint to send to
     * @param request the request
     * @param listener receives the answer, on the thread that called this method and never before it has returned
     * @return a handle to cancel the request
     */
    Exchange send(EndpointEntry endpoint, EndpointRequest request, ExchangeListener listener);

    /** A request in progress. */
    @FunctionalInterface
    interface Exchange {
        /** Cancels the request and closes its connection; no listener calls follow. Has no effect after the end. */
        void cancel();

        /**
         * Reads the rest of the answer at intervals, so that parts that arrive shortly after one another are passed
         * on together, at a fraction of the cost. The end of the answer and the loss of the connection are noticed as
         * late.
         *
         * @param intervalMillis time between two reads, in milliseconds
         */
        default void readEvery(long intervalMillis) {}
    }
}
