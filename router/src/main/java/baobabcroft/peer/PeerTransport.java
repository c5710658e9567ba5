package baobabcroft.peer;

import baobabcroft.peer.proto.PeerRequest;
import java.util.concurrent.CompletionStage;

/** Sends requests to other instances and dispatches their requests to handlers. Thread-safe. */
public interface PeerTransport extends AutoCloseable {
    /**
     * Sends a request once. It is not retried, and requests may be received out of order.
     *
     * @param peer name of the receiving instance
     * @param request request with its body set
     * @param timeoutMillis timeout for connecting and receiving the reply, in milliseconds; positive
     * @return the reply or a failure; never completes exceptionally
     */
    CompletionStage<PeerResult> send(String peer, PeerRequest request, long timeoutMillis);

    /**
     * Registers the handler of requests with the given body.
     *
     * @param body kind of request; at most one handler may be registered for each
     * @param handler handler that produces the reply
     * @throws IllegalArgumentException if the kind already has a handler
     */
    void handle(PeerRequest.BodyCase body, PeerHandler handler);

    @Override
    void close();
}
