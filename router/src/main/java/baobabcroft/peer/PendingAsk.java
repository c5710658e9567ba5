package baobabcroft.peer;

import baobabcroft.peer.proto.PeerReply;
import baobabcroft.peer.proto.PeerRequest;
import java.util.concurrent.CompletableFuture;

/** A request whose result is pending. Its future is thread-safe; all else is confined to one event loop. */
final class PendingAsk {
    private final PeerRequest request;
    private final CompletableFuture<PeerAnswer> answer = new CompletableFuture<>();
    private boolean written;

    PendingAsk(PeerRequest request) {
        this.request = request;
    }

    PeerRequest request() {
        return request;
    }

    CompletableFuture<PeerAnswer> answer() {
        return answer;
    }

    /** Records that the request is being written and may reach the peer from now on. */
    void markWritten() {
        written = true;
    }

    void fail(PeerFailure kind) {
        answer.complete(new PeerAnswer.Failed(kind, written));
    }

    void reply(PeerReply reply) {
        if (reply.hasRefused() || reply.getBodyCase() == PeerReply.BodyCase.BODY_NOT_SET) {
            fail(PeerFailure.REFUSED);
            return;
        }
        answer.complete(new PeerAnswer.Answered(reply));
    }
}
