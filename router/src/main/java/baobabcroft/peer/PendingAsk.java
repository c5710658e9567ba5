package baobabcroft.peer;

import baobabcroft.peer.proto.PeerReply;
import baobabcroft.peer.proto.PeerRequest;
import java.util.concurrent.CompletableFuture;

/** One request on its way. Its future is completed once; the rest is used by one event loop. */
final class PendingAsk {
    private final PeerRequest request;
    private final CompletableFuture<PeerResult> answer = new CompletableFuture<>();
    private boolean written;

    PendingAsk(PeerRequest request) {
        this.request = request;
    }

    PeerRequest request() {
        return request;
    }

    CompletableFuture<PeerResult> answer() {
        return answer;
    }

    /** Notes that bytes of the request may reach the peer from now on. */
    void markWritten() {
        written = true;
    }

    void fail(PeerFailure kind) {
        answer.complete(new PeerResult.Failed(kind, written));
    }

    void reply(PeerReply reply) {
        if (reply.hasRefused() || reply.getBodyCase() == PeerReply.BodyCase.BODY_NOT_SET) {
            fail(PeerFailure.REFUSED);
            return;
        }
        answer.complete(new PeerResult.Answered(reply));
    }
}
