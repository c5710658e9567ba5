package baobabcroft.peer;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import baobabcroft.peer.proto.PeerReply;
import baobabcroft.peer.proto.PeerRequest;
import baobabcroft.peer.proto.Refused;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/** Registry of the request handlers of a transport. Thread-safe. */
public final class PeerHandlers {
    private static final EventLog LOG = EventLog.of(PeerHandlers.class);

    private final ConcurrentMap<PeerRequest.BodyCase, PeerHandler> handlers = new ConcurrentHashMap<>();

    private PeerHandlers() {}

    /**
     * Returns an empty registry.
     *
     * @return registry without handlers
     */
    public static PeerHandlers create() {
        return new PeerHandlers();
    }

    /**
     * Registers a handler.
     *
     * @param body kind of request
     * @param handler handler that produces the reply
     * @throws IllegalArgumentException if the kind already has a handler
     */
    public void register(PeerRequest.BodyCase body, PeerHandler handler) {
        checkArgument(handlers.putIfAbsent(body, checkNotNull(handler)) == null, "%s already has a handler", body);
    }

    /**
     * Passes a request to its handler.
     *
     * @param sender authenticated name of the sending instance
     * @param request request to handle
     * @return the reply, or {@code Refused} if there is no handler or it failed; never completes exceptionally
     */
    public CompletionStage<PeerReply> dispatch(String sender, PeerRequest request) {
        PeerHandler handler = handlers.get(request.getBodyCase());
        if (handler == null) {
            return CompletableFuture.completedFuture(refused("no handler for " + request.getBodyCase()));
        }
        try {
            return handler.handle(sender, request).exceptionally(failure -> failed(request, failure));
        } catch (RuntimeException e) {
            return CompletableFuture.completedFuture(failed(request, e));
        }
    }

    private static PeerReply failed(PeerRequest request, Throwable failure) {
        LOG.logFailure(LogEvent.PEER_HANDLER_FAILED, failure, request.getBodyCase());
        return refused("handler failed");
    }

    static PeerReply refused(String reason) {
        return PeerReply.newBuilder()
                .setRefused(Refused.newBuilder().setReason(reason))
                .build();
    }
}
