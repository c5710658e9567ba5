package baobabcroft.serve;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.billing.Bill;
import baobabcroft.billing.BillCodec;
import baobabcroft.billing.BillHolder;
import baobabcroft.billing.BillService;
import baobabcroft.peer.PeerResult;
import baobabcroft.peer.PeerTransport;
import baobabcroft.peer.proto.Ack;
import baobabcroft.peer.proto.BillKey;
import baobabcroft.peer.proto.BillsWritten;
import baobabcroft.peer.proto.HoldBills;
import baobabcroft.peer.proto.PeerReply;
import baobabcroft.peer.proto.PeerRequest;
import com.google.common.collect.ImmutableList;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/**
 * Hands bills to another instance while the store is out, and holds those of the others.
 *
 * <p>The peers are tried one after the other, those of other failure domains first. Thread-safe.
 */
final class PeerBillHolder implements BillHolder {
    private static final long ASK_TIMEOUT_MILLIS = 500;

    private final PeerTransport transport;
    private final PeerNames peers;

    PeerBillHolder(PeerTransport transport, PeerNames peers) {
        this.transport = checkNotNull(transport);
        this.peers = checkNotNull(peers);
    }

    /** Starts holding the bills of other instances. */
    void serve(BillService bills) {
        transport.handle(PeerRequest.BodyCase.HOLD_BILLS, (sender, request) -> held(bills, request.getHoldBills()));
        transport.handle(PeerRequest.BodyCase.BILLS_WRITTEN, (sender, request) -> {
            bills.releaseForPeer(request.getBillsWritten().getBillKeysList().stream()
                    .map(key -> new Bill.Id(key.getAccount(), key.getRequestId()))
                    .collect(ImmutableList.toImmutableList()));
            return acknowledged();
        });
    }

    private static CompletionStage<PeerReply> held(BillService bills, HoldBills request) {
        try {
            if (bills.holdForPeer(BillCodec.decode(request.getBills()))) {
                return acknowledged();
            }
            return CompletableFuture.failedFuture(new IllegalStateException("no room for bills"));
        } catch (InvalidProtocolBufferException malformed) {
            return CompletableFuture.failedFuture(malformed);
        }
    }

    private static CompletionStage<PeerReply> acknowledged() {
        return CompletableFuture.completedFuture(
                PeerReply.newBuilder().setAck(Ack.getDefaultInstance()).build());
    }

    @Override
    public CompletionStage<Boolean> hold(List<Bill> bills) {
        PeerRequest request = PeerRequest.newBuilder()
                .setHoldBills(HoldBills.newBuilder().setBills(BillCodec.encode(bills)))
                .build();
        return holdByFirst(peers.aliveFarthestFirst(), request);
    }

    private CompletionStage<Boolean> holdByFirst(List<String> candidates, PeerRequest request) {
        if (candidates.isEmpty()) {
            return CompletableFuture.completedFuture(false);
        }
        return transport
                .send(candidates.get(0), request, ASK_TIMEOUT_MILLIS)
                .thenCompose(answer -> answer instanceof PeerResult.Answered
                        ? CompletableFuture.completedFuture(true)
                        : holdByFirst(candidates.subList(1, candidates.size()), request));
    }

    @Override
    public void release(List<Bill.Id> ids) {
        BillsWritten.Builder written = BillsWritten.newBuilder();
        ids.forEach(id -> written.addBillKeys(
                BillKey.newBuilder().setAccount(id.account()).setRequestId(id.requestId())));
        PeerRequest request = PeerRequest.newBuilder().setBillsWritten(written).build();
        peers.alive().forEach(peer -> transport.send(peer, request, ASK_TIMEOUT_MILLIS));
    }

    @Override
    public boolean isReachable() {
        return !peers.alive().isEmpty();
    }
}
