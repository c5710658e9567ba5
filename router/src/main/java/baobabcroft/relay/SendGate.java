package baobabcroft.relay;

import baobabcroft.directory.EndpointEntry;
import com.google.common.collect.ImmutableList;

/** Limits how often this instance sends requests to an endpoint, whatever the requests are. Not thread-safe. */
public interface SendGate {
    /** Limits nothing. */
    SendGate OPEN = new SendGate() {
        @Override
        public Pass enter(EndpointEntry endpoint) {
            return Pass.FREE;
        }

        @Override
        public ImmutableList<String> holders(EndpointEntry endpoint) {
            return ImmutableList.of();
        }
    };

    /** What one request has been granted. */
    interface Pass {
        /** Allows the request. */
        Pass FREE = new Pass() {
            @Override
            public boolean confirm() {
                return true;
            }

            @Override
            public void release() {}
        };

        /**
         * Called when the request is about to be written to an open connection.
         *
         * @return false if it must not be written
         */
        boolean confirm();

        /** Called if the request was not written. */
        void release();
    }

    /**
     * Called when an endpoint has been chosen for a request.
     *
     * @param endpoint the endpoint
     * @return what the request is granted
     */
    Pass enter(EndpointEntry endpoint);

    /**
     * Returns the instances that may send requests to an endpoint at present.
     *
     * @param endpoint the endpoint
     * @return their names; empty if all may
     */
    ImmutableList<String> holders(EndpointEntry endpoint);
}
