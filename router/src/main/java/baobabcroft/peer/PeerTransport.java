package baobabcroft.peer;

import baobabcroft.peer.proto.PeerRequest;
import java.util.concurrent.CompletionStage;

/** Asks other instances and answers them. Thread-safe. */
public interface PeerTransport extends AutoCloseable {
    /**
     * Sends a request once. It is not repeated, and it may be received out of order.
     *
     * @param peer name of the instance to ask
     * @param request the request
     * @param timeoutMillis how long to wait for the answer, connecting included, in milliseconds
     * @return the answer or what went wrong; never completes exceptionally
     */
    CompletionStage<PeerResult> send(String peer, PeerRequest request, long timeoutMillis);

    /**
     * Registers what answers the requests with the given body.
     *
     * @param body the kind of request; each may be registered once
     * @param handler answers it
     */
    void handle(PeerRequest.BodyCase body, PeerHandler handler);

    @Override
    void close();
}
