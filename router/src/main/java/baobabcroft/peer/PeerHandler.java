package baobabcroft.peer;

import baobabcroft.peer.proto.PeerReply;
import baobabcroft.peer.proto.PeerRequest;
import java.util.concurrent.CompletionStage;

/** Answers the requests of other instances. Called on the transport's threads: must not block. */
@FunctionalInterface
public interface PeerHandler {
    /**
     * Answers one request.
     *
     * @param sender name of the instance that asks, as proved by the shared key
     * @param request the request
     * @return the reply; a failure refuses the request
     */
    CompletionStage<PeerReply> handle(String sender, PeerRequest request);
}
