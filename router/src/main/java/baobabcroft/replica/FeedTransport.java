package baobabcroft.replica;

import com.google.common.net.HostAndPort;

/** Connects to the feeds of other instances. */
@FunctionalInterface
public interface FeedTransport {
    /** A connection to the feed of another instance. */
    interface Link {
        /** No connection. */
        Link NONE = new Link() {
            @Override
            public void request(StoreRevision position) {}

            @Override
            public void close() {}
        };

        /**
         * Requests the next update. Each update that is received answers one request, the first one that of {@link
         * #connect}.
         *
         * @param position revision that this instance has
         */
        void request(StoreRevision position);

        /** Closes the connection. Nothing is reported afterwards. */
        void close();
    }

    /** Receives what another instance passes on. */
    interface Observer {
        /**
         * Called for each update.
         *
         * @param update the update
         */
        void onUpdate(FeedUpdate update);

        /**
         * Called once when the feed is refused, cannot be reached or ends.
         *
         * @param reason description of the cause, for logs
         */
        void onClosed(String reason);
    }

    /**
     * Opens a connection and asks for updates.
     *
     * @param address address of the other instance
     * @param position revision that this instance already has
     * @param observer receives the updates; not called before this method has returned
     * @return the connection
     */
    Link connect(HostAndPort address, StoreRevision position, Observer observer);
}
