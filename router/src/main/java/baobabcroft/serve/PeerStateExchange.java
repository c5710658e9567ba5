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
 * Exchanges the state behind routing decisions with the other instances.
 *
 * <p>Crashes are broadcast at once; evidence on versions, ratings, automatic stops and account demand at intervals.
 * Each instance sends only the sums of its own evidence and ratings. The sums are cumulative: the latest message
 * replaces all earlier ones. Thread-safe.
 */
final class PeerStateExchange {
    private static final long REQUEST_TIMEOUT_MILLIS = 1_000;
    private static final long INTERVAL_MILLIS = 1_000;
    private static final int FULL_REPORT_ROUNDS = 10;

    private final PeerTransport transport;
    private final LivePeers peers;
    private final Shared shared;
    private final Scheduler scheduler;
    private final InstantSource wallClock;
    private final String self;
    private final Set<Message> currentReports = new HashSet<>();
    private ImmutableSet<Message> lastReports = ImmutableSet.of();
    private long lastSentSlot = Long.MIN_VALUE;
    private long round;

    /**
     * The state that is exchanged.
     *
     * @param crashes requests that were followed by endpoint crashes
     * @param evidence answers, errors and ratings by version
     * @param stops automatically stopped versions
     * @param onStopReceived called with each stop that another instance reports
     * @param quality ratings by version and kind of request
     * @param limits limits and demand of the client accounts
     */
    record Shared(
            CrashLedger crashes,
            EvidenceLedger evidence,
            StoppedVersions stops,
            Consumer<VersionStop> onStopReceived,
            QualityLedger quality,
            AccountLimits limits) {}

    PeerStateExchange(
            String self,
            PeerTransport transport,
            LivePeers peers,
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

    /** Registers the handlers for reports of other instances and starts the periodic broadcast. */
    void start() {
        transport.handle(PeerRequest.BodyCase.CRASH_REPORTS, (sender, request) -> {
            receive(request.getCrashReports());
            return acknowledged();
        });
        transport.handle(PeerRequest.BodyCase.EVIDENCE, (sender, request) -> {
            receive(request.getEvidence());
            return acknowledged();
        });
        transport.handle(PeerRequest.BodyCase.USAGE, (sender, request) -> {
            shared.limits().addReport(EvidenceCodec.decode(request.getUsage()));
            return acknowledged();
        });
        broadcastPeriodically();
    }

    /** Broadcasts a crash to all live instances. */
    void broadcastCrash(Crash crash) {
        broadcast(PeerRequest.newBuilder()
                .setCrashReports(CrashReports.newBuilder().addReports(report(crash)))
                .build());
    }

    private synchronized void broadcastPeriodically() {
        ImmutableList<String> alive = peers.alive();
        shared.limits().setLiveInstances(ImmutableSet.copyOf(alive));
        Evidence evidence = ownEvidence();
        if (evidence.getSerializedSize() > 0) {
            broadcast(PeerRequest.newBuilder().setEvidence(evidence).build());
        }
        broadcastDemand();
        scheduler.schedule(INTERVAL_MILLIS, this::broadcastPeriodically);
    }

    /**
     * Returns this instance's own sums and all known stops, as far as they changed since the previous round.
     *
     * <p>Every {@code FULL_REPORT_ROUNDS} rounds it returns all of them, for instances that started later or missed a
     * message.
     */
    private Evidence ownEvidence() {
        boolean all = round++ % FULL_REPORT_ROUNDS == 0;
        Evidence.Builder evidence = Evidence.newBuilder();
        shared.evidence().reports().stream()
                .filter(report -> report.origin().equals(self))
                .map(EvidenceCodec::encode)
                .filter(message -> shouldSend(message, all))
                .forEach(evidence::addVersions);
        shared.quality().reports().stream()
                .filter(report -> report.origin().equals(self))
                .map(EvidenceCodec::encode)
                .filter(message -> shouldSend(message, all))
                .forEach(evidence::addKinds);
        shared.stops().stops().stream()
                .map(EvidenceCodec::encode)
                .filter(message -> shouldSend(message, all))
                .forEach(evidence::addStops);
        lastReports = ImmutableSet.copyOf(currentReports);
        currentReports.clear();
        return evidence.build();
    }

    /** Records a message for comparison in the next round, and returns whether it is due in this one. */
    private boolean shouldSend(Message message, boolean all) {
        currentReports.add(message);
        return all || !lastReports.contains(message);
    }

    private void broadcastDemand() {
        Optional<DemandReport> own = shared.limits().ownReport(wallClock.millis());
        if (own.isEmpty() || own.get().slot() <= lastSentSlot) {
            return;
        }
        lastSentSlot = own.get().slot();
        broadcast(PeerRequest.newBuilder()
                .setUsage(EvidenceCodec.encode(own.get()))
                .build());
    }

    private void broadcast(PeerRequest request) {
        peers.alive().forEach(peer -> transport.send(peer, request, REQUEST_TIMEOUT_MILLIS));
    }

    private CrashReport report(Crash crash) {
        return CrashReport.newBuilder()
                .setRequestDigest(ByteString.copyFromUtf8(crash.requestDigest()))
                .setEndpoint(crash.endpoint())
                .setAgeMillis(Math.max(0, wallClock.millis() - crash.atEpochMillis()))
                .build();
    }

    private void receive(CrashReports reports) {
        long nowMillis = wallClock.millis();
        shared.crashes()
                .merge(reports.getReportsList().stream()
                        .map(report -> new Crash(
                                report.getRequestDigest().toStringUtf8(),
                                report.getEndpoint(),
                                nowMillis - report.getAgeMillis()))
                        .collect(ImmutableList.toImmutableList()));
    }

    private void receive(Evidence evidence) {
        evidence.getVersionsList()
                .forEach(message -> EvidenceCodec.decode(message).ifPresent(shared.evidence()::merge));
        evidence.getStopsList().forEach(message -> EvidenceCodec.decode(message).ifPresent(shared.onStopReceived()));
        evidence.getKindsList().forEach(message -> EvidenceCodec.decode(message).ifPresent(shared.quality()::merge));
    }

    private static CompletionStage<PeerReply> acknowledged() {
        return CompletableFuture.completedFuture(
                PeerReply.newBuilder().setAck(Ack.getDefaultInstance()).build());
    }
}
