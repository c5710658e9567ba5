package baobabcroft.serve;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.cascade.QualityLedger;
import baobabcroft.common.Scheduler;
import baobabcroft.limit.AccountLimits;
import baobabcroft.limit.DemandReport;
import baobabcroft.peer.PeerTransport;
import baobabcroft.peer.proto.Ack;
import baobabcroft.peer.proto.CrashReport;
import baobabcroft.peer.proto.CrashReports;
import baobabcroft.peer.proto.Evidence;
import baobabcroft.peer.proto.PeerReply;
import baobabcroft.peer.proto.PeerRequest;
import baobabcroft.poison.Crash;
import baobabcroft.poison.CrashLedger;
import baobabcroft.rollout.EvidenceLedger;
import baobabcroft.rollout.StoppedVersions;
import baobabcroft.rollout.VersionStop;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.protobuf.ByteString;
import com.google.protobuf.Message;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

/**
 * Tells the other instances what the decisions need to share, and takes in theirs: crashes at once; evidence on
 * versions, stops and demand at intervals. Each tells only its own sums, which include all that it told before.
 * Thread-safe.
 */
final class PeerGossip {
    private static final long ASK_TIMEOUT_MILLIS = 1_000;
    private static final long INTERVAL_MILLIS = 1_000;
    private static final int ROUNDS_BETWEEN_ALL = 10;

    private final PeerTransport transport;
    private final PeerNames peers;
    private final Shared shared;
    private final Scheduler scheduler;
    private final InstantSource wallClock;
    private final String self;
    private final Set<Message> current = new HashSet<>();
    private ImmutableSet<Message> told = ImmutableSet.of();
    private long toldSlot = Long.MIN_VALUE;
    private long round;

    /**
     * What is shared.
     *
     * @param crashes requests of which endpoints died
     * @param evidence how versions answered
     * @param stops versions that were stopped
     * @param stopHeard told of each stop that another instance found
     * @param quality ratings by kind of request
     * @param limits demand of the accounts
     */
    record Shared(
            CrashLedger crashes,
            EvidenceLedger evidence,
            StoppedVersions stops,
            Consumer<VersionStop> stopHeard,
            QualityLedger quality,
            AccountLimits limits) {}

    PeerGossip(
            String self,
            PeerTransport transport,
            PeerNames peers,
            Shared shared,
            Scheduler scheduler,
            InstantSource wallClock) {
        this.self = checkNotNull(self);
        this.transport = checkNotNull(transport);
        this.peers = checkNotNull(peers);
        this.shared = checkNotNull(shared);
        this.scheduler = checkNotNull(scheduler);
        this.wallClock = checkNotNull(wallClock);
    }

    /** Starts answering the other instances and telling them at intervals. */
    void start() {
        transport.handle(PeerRequest.BodyCase.CRASH_REPORTS, (sender, request) -> {
            hear(request.getCrashReports());
            return acknowledged();
        });
        transport.handle(PeerRequest.BodyCase.EVIDENCE, (sender, request) -> {
            hear(request.getEvidence());
            return acknowledged();
        });
        transport.handle(PeerRequest.BodyCase.USAGE, (sender, request) -> {
            shared.limits().addReport(EvidenceCodec.decode(request.getUsage()));
            return acknowledged();
        });
        tellAtIntervals();
    }

    /** Tells all live instances of a crash. */
    void announce(Crash crash) {
        tell(PeerRequest.newBuilder()
                .setCrashReports(CrashReports.newBuilder().addReports(report(crash)))
                .build());
    }

    private synchronized void tellAtIntervals() {
        ImmutableList<String> alive = peers.alive();
        shared.limits().setLiveInstances(ImmutableSet.copyOf(alive));
        Evidence evidence = ownEvidence();
        if (evidence.getSerializedSize() > 0) {
            tell(PeerRequest.newBuilder().setEvidence(evidence).build());
        }
        tellDemand();
        scheduler.schedule(INTERVAL_MILLIS, this::tellAtIntervals);
    }

    /** Returns this instance's own sums that changed since they were last told; now and then all of them. */
    private Evidence ownEvidence() {
        boolean all = round++ % ROUNDS_BETWEEN_ALL == 0;
        Evidence.Builder evidence = Evidence.newBuilder();
        shared.evidence().reports().stream()
                .filter(report -> report.origin().equals(self))
                .map(EvidenceCodec::encode)
                .filter(message -> isNews(message, all))
                .forEach(evidence::addVersions);
        shared.quality().reports().stream()
                .filter(report -> report.origin().equals(self))
                .map(EvidenceCodec::encode)
                .filter(message -> isNews(message, all))
                .forEach(evidence::addKinds);
        shared.stops().stops().stream()
                .map(EvidenceCodec::encode)
                .filter(message -> isNews(message, all))
                .forEach(evidence::addStops);
        told = ImmutableSet.copyOf(current);
        current.clear();
        return evidence.build();
    }

    private boolean isNews(Message message, boolean all) {
        current.add(message);
        return all || !told.contains(message);
    }

    private void tellDemand() {
        Optional<DemandReport> own = shared.limits().ownReport(wallClock.millis());
        if (own.isEmpty() || own.get().slot() <= toldSlot) {
            return;
        }
        toldSlot = own.get().slot();
        tell(PeerRequest.newBuilder().setUsage(EvidenceCodec.encode(own.get())).build());
    }

    private void tell(PeerRequest request) {
        peers.alive().forEach(peer -> transport.send(peer, request, ASK_TIMEOUT_MILLIS));
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
        shared.crashes()
                .merge(reports.getReportsList().stream()
                        .map(report -> new Crash(
                                report.getRequestDigest().toStringUtf8(),
                                report.getEndpoint(),
                                nowMillis - report.getAgeMillis()))
                        .collect(ImmutableList.toImmutableList()));
    }

    private void hear(Evidence evidence) {
        evidence.getVersionsList()
                .forEach(message -> EvidenceCodec.decode(message).ifPresent(shared.evidence()::merge));
        evidence.getStopsList().forEach(message -> EvidenceCodec.decode(message).ifPresent(shared.stopHeard()));
        evidence.getKindsList().forEach(message -> EvidenceCodec.decode(message).ifPresent(shared.quality()::merge));
    }

    private static CompletionStage<PeerReply> acknowledged() {
        return CompletableFuture.completedFuture(
                PeerReply.newBuilder().setAck(Ack.getDefaultInstance()).build());
    }
}
