package baobabcroft.peer;

import baobabcroft.peer.proto.PeerReply;
import baobabcroft.peer.proto.PeerRequest;
import java.util.concurrent.CompletionStage;

/** Handler of requests from other instances. Called on the threads of the transport, so it must not block. */
@FunctionalInterface
public interface PeerHandler {
    /**
     * Handles one request.
     *
     * @param sender authenticated name of the sending instance
     * @param request request with the body that the handler is registered for
     * @return the reply; if it completes exceptionally, the sender receives {@code Refused}
     */
    CompletionStage<PeerReply> handle(String sender, PeerRequest request);
}
