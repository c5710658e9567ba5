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
 * Network between instances in virtual time, with cuts and delays; freezes and kills come from the processes.
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

    /** Creates a network of no nodes, with a delay of one millisecond each way. */
    public FakePeerNetwork(VirtualTime time) {
        this.time = time;
    }

    /** Returns the transport of a process; a former process of this name hears and says nothing more. */
    public PeerTransport join(String name, FakeProcess process) {
        Node node = new Node(name, process);
        nodes.put(name, node);
        return node;
    }

    /** Loses all messages from one node to another from now on. */
    public void cut(String from, String to) {
        cuts.add(new Link(from, to));
    }

    /** Heals the way from one node to another. */
    public void heal(String from, String to) {
        cuts.remove(new Link(from, to));
    }

    /** Heals all ways. */
    public void healAll() {
        cuts.clear();
    }

    /** Sets what gives the delay of each message. */
    public void setDelayMillis(LongSupplier delay) {
        delayMillis = (from, to) -> delay.getAsLong();
    }

    /** Sets the delay of each message by sender and receiver. */
    public void setLinkDelayMillis(ToLongBiFunction<String, String> delay) {
        delayMillis = delay;
    }

    /** Returns the serialized size of all requests and replies sent so far. */
    public long sentBytes() {
        return sentBytes;
    }

    private void send(String from, String to, int bytes, Runnable arrival) {
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
            CompletableFuture<PeerResult> answer = new CompletableFuture<>();
            if (!nodes.containsKey(peer)) {
                answer.complete(new PeerResult.Failed(PeerFailure.UNKNOWN_PEER, false));
                return answer;
            }
            send(name, peer, request.getSerializedSize(), () -> receive(peer, request, answer));
            process.scheduler()
                    .schedule(timeoutMillis, () -> answer.complete(new PeerResult.Failed(PeerFailure.TIMEOUT, true)));
            return answer;
        }

        private void receive(String peer, PeerRequest request, CompletableFuture<PeerResult> answer) {
            Node target = nodes.get(peer);
            target.process.run(() -> target.handlers
                    .dispatch(name, request)
                    .thenAccept(reply -> send(
                            peer, name, reply.getSerializedSize(), () -> process.run(() -> finish(reply, answer)))));
        }

        private void finish(PeerReply reply, CompletableFuture<PeerResult> answer) {
            if (reply.hasRefused()) {
                answer.complete(new PeerResult.Failed(PeerFailure.REFUSED, true));
                return;
            }
            answer.complete(new PeerResult.Answered(reply));
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
