package baobabcroft.fake;

import baobabcroft.peer.PeerFailure;
import baobabcroft.peer.PeerHandler;
import baobabcroft.peer.PeerHandlers;
import baobabcroft.peer.PeerResult;
import baobabcroft.peer.PeerTransport;
import baobabcroft.peer.proto.PeerReply;
import baobabcroft.peer.proto.PeerRequest;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.LongSupplier;
import java.util.function.ToLongBiFunction;

/**
 * Simulated network between instances in virtual time, with partitions and delays. Frozen and killed instances are
 * simulated by their {@link FakeProcess}.
 *
 * <p>Not thread-safe.
 */
public final class FakePeerNetwork {
    private final VirtualTime time;
    private final Map<String, Node> nodes = new HashMap<>();
    private final Set<Link> cuts = new HashSet<>();
    private ToLongBiFunction<String, String> delayMillis = (from, to) -> 1;
    private long sentBytes;

    private record Link(String from, String to) {}

    /** Creates a network without nodes and with a one-way delay of one millisecond. */
    public FakePeerNetwork(VirtualTime time) {
        this.time = time;
    }

    /**
     * Adds a node and returns its transport. An earlier node of the same name is replaced and receives no requests any
     * more.
     */
    public PeerTransport join(String name, FakeProcess process) {
        Node node = new Node(name, process);
        nodes.put(name, node);
        return node;
    }

    /** Drops all messages from one node to another, including those in transit, until healed. */
    public void cut(String from, String to) {
        cuts.add(new Link(from, to));
    }

    /** Restores the link from one node to another. */
    public void heal(String from, String to) {
        cuts.remove(new Link(from, to));
    }

    /** Restores all links. */
    public void healAll() {
        cuts.clear();
    }

    /** Sets a supplier of the one-way delay of each message, in milliseconds. */
    public void setDelayMillis(LongSupplier delay) {
        delayMillis = (from, to) -> delay.getAsLong();
    }

    /** Sets a function from sender and receiver to the one-way delay of a message, in milliseconds. */
    public void setLinkDelayMillis(ToLongBiFunction<String, String> delay) {
        delayMillis = delay;
    }

    /** Returns the total serialized size of all requests and replies sent so far, in bytes. */
    public long sentBytes() {
        return sentBytes;
    }

    private void transmit(String from, String to, int bytes, Runnable arrival) {
        sentBytes += bytes;
        time.scheduler().schedule(delayMillis.applyAsLong(from, to), () -> {
            if (!cuts.contains(new Link(from, to))) {
                arrival.run();
            }
        });
    }

    private final class Node implements PeerTransport {
        private final String name;
        private final FakeProcess process;
        private final PeerHandlers handlers = PeerHandlers.create();

        Node(String name, FakeProcess process) {
            this.name = name;
            this.process = process;
        }

        @Override
        public CompletionStage<PeerResult> send(String peer, PeerRequest request, long timeoutMillis) {
            CompletableFuture<PeerResult> result = new CompletableFuture<>();
            if (!nodes.containsKey(peer)) {
                result.complete(new PeerResult.Failed(PeerFailure.UNKNOWN_PEER, false));
                return result;
            }
            transmit(name, peer, request.getSerializedSize(), () -> receive(peer, request, result));
            process.scheduler()
                    .schedule(timeoutMillis, () -> result.complete(new PeerResult.Failed(PeerFailure.TIMEOUT, true)));
            return result;
        }

        private void receive(String peer, PeerRequest request, CompletableFuture<PeerResult> result) {
            Node target = nodes.get(peer);
            target.process.run(() -> target.handlers
                    .dispatch(name, request)
                    .thenAccept(reply -> transmit(
                            peer, name, reply.getSerializedSize(), () -> process.run(() -> finish(reply, result)))));
        }

        private void finish(PeerReply reply, CompletableFuture<PeerResult> result) {
            if (reply.hasRefused()) {
                result.complete(new PeerResult.Failed(PeerFailure.REFUSED, true));
                return;
            }
            result.complete(new PeerResult.Answered(reply));
        }

        @Override
        public void handle(PeerRequest.BodyCase body, PeerHandler handler) {
            handlers.register(body, handler);
        }

        @Override
        public void close() {
            process.kill();
        }
    }
}
