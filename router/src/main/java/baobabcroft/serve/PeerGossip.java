package baobabcroft.serve;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.peer.PeerTransport;
import baobabcroft.peer.proto.Ack;
import baobabcroft.peer.proto.CrashReport;
import baobabcroft.peer.proto.CrashReports;
import baobabcroft.peer.proto.PeerReply;
import baobabcroft.peer.proto.PeerRequest;
import baobabcroft.poison.Crash;
import baobabcroft.poison.CrashLedger;
import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Tells the other instances of crashes, and takes in theirs. Thread-safe. */
final class PeerGossip {
    private static final long ASK_TIMEOUT_MILLIS = 1_000;

    private final PeerTransport transport;
    private final PeerNames peers;
    private final CrashLedger crashes;
    private final InstantSource wallClock;

    PeerGossip(PeerTransport transport, PeerNames peers, CrashLedger crashes, InstantSource wallClock) {
        this.transport = checkNotNull(transport);
        this.peers = checkNotNull(peers);
        this.crashes = checkNotNull(crashes);
        this.wallClock = checkNotNull(wallClock);
    }

    /** Starts answering the other instances. */
    void register() {
        transport.handle(PeerRequest.BodyCase.CRASH_REPORTS, (sender, request) -> {
            hear(request.getCrashReports());
            return acknowledged();
        });
    }

    /** Tells all live instances of a crash. */
    void announce(Crash crash) {
        PeerRequest request = PeerRequest.newBuilder()
                .setCrashReports(CrashReports.newBuilder().addReports(report(crash)))
                .build();
        peers.alive().forEach(peer -> transport.ask(peer, request, ASK_TIMEOUT_MILLIS));
    }

    private CrashReport report(Crash crash) {
        return CrashReport.newBuilder()
                .setRequestDigest(ByteString.copyFromUtf8(crash.requestDigest()))
                .setEndpoint(crash.endpoint())
                .setAgeMillis(Math.max(0, wallClock.millis() - crash.atEpochMillis()))
                .build();
    }

    private void hear(CrashReports reports) {
        long nowMillis = wallClock.millis();
        crashes.merge(reports.getReportsList().stream()
                .map(report -> new Crash(
                        report.getRequestDigest().toStringUtf8(),
                        report.getEndpoint(),
                        nowMillis - report.getAgeMillis()))
                .collect(ImmutableList.toImmutableList()));
    }

    private static CompletionStage<PeerReply> acknowledged() {
        return CompletableFuture.completedFuture(
                PeerReply.newBuilder().setAck(Ack.getDefaultInstance()).build());
    }
}
