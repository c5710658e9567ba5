package baobabcroft.peer;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.peer.proto.PeerReply;

/** Result of a request to a peer: a reply or a failure. */
public sealed interface PeerResult {
    /**
     * The peer replied.
     *
     * @param reply reply of the peer, never {@code Refused}
     */
    record Answered(PeerReply reply) implements PeerResult {
        /** Checks that the reply is not null. */
        public Answered {
            checkNotNull(reply);
        }
    }

    /**
     * The request failed.
     *
     * @param kind reason of the failure
     * @param mayHaveBeenReceived whether the peer may have received and processed the request
     */
    record Failed(PeerFailure kind, boolean mayHaveBeenReceived) implements PeerResult {
        /** Checks that the reason is not null. */
        public Failed {
            checkNotNull(kind);
        }
    }
}
