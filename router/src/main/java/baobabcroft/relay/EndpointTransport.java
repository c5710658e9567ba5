package baobabcroft.relay;

import baobabcroft.directory.EndpointEntry;

/** Sends requests to endpoints. */
@FunctionalInterface
public interface EndpointTransport {
    /**
     * Sends a request.
     *
     * @param endpoint where to
     * @param request the request
     * @param listener told of the answer, on the caller's thread, never before this method has returned
     * @return a handle that gives the request up
     */
    Exchange send(EndpointEntry endpoint, EndpointRequest request, ExchangeListener listener);

    /** A request under way. */
    @FunctionalInterface
    interface Exchange {
        /** Gives the request up and closes its connection; the listener hears no more. Does nothing after the end. */
        void cancel();
    }
}
