package baobabcroft.peer;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.peer.proto.PeerReply;

/** Outcome of a request to a peer. */
public sealed interface PeerResult {
    /**
     * The peer answered.
     *
     * @param reply its reply, never {@code Refused}
     */
    record Answered(PeerReply reply) implements PeerResult {
        /** Checks the parts. */
        public Answered {
            checkNotNull(reply);
        }
    }

    /**
     * No answer came.
     *
     * @param kind the reason
     * @param mayHaveBeenReceived whether the peer may have acted on the request
     */
    record Failed(PeerFailure kind, boolean mayHaveBeenReceived) implements PeerResult {
        /** Checks the parts. */
        public Failed {
            checkNotNull(kind);
        }
    }
}
