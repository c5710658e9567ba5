package baobabcroft.peer;

import baobabcroft.peer.proto.PeerReply;
import baobabcroft.peer.proto.PeerRequest;
import java.util.concurrent.CompletableFuture;

/** A request whose result is pending. Its future is thread-safe; all else is confined to one event loop. */
final class PendingRequest {
    private final PeerRequest request;
    private final CompletableFuture<PeerResult> result = new CompletableFuture<>();
    private boolean written;

    PendingRequest(PeerRequest request) {
        this.request = request;
    }

    PeerRequest request() {
        return request;
    }

    CompletableFuture<PeerResult> result() {
        return result;
    }

    /** Records that the request is being written and may reach the peer from now on. */
    void markWritten() {
        written = true;
    }

    void fail(PeerFailure kind) {
        result.complete(new PeerResult.Failed(kind, written));
    }

    void reply(PeerReply reply) {
        if (reply.hasRefused() || reply.getBodyCase() == PeerReply.BodyCase.BODY_NOT_SET) {
            fail(PeerFailure.REFUSED);
            return;
        }
        result.complete(new PeerResult.Answered(reply));
    }
}
