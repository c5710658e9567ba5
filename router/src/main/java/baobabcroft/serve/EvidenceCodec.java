package baobabcroft.serve;

import baobabcroft.cascade.QualityEvidence;
import baobabcroft.cascade.QualityReport;
import baobabcroft.cascade.RequestKind;
import baobabcroft.limit.DemandReport;
import baobabcroft.peer.proto.AccountDemand;
import baobabcroft.peer.proto.KindEvidence;
import baobabcroft.peer.proto.Usage;
import baobabcroft.peer.proto.VersionEvidence;
import baobabcroft.peer.proto.VersionStopped;
import baobabcroft.rollout.Evidence;
import baobabcroft.rollout.EvidenceReport;
import baobabcroft.rollout.VersionStop;
import baobabcroft.rules.VersionId;
import com.google.common.collect.ImmutableMap;
import java.util.Optional;

/** Turns what the decisions tell other instances into messages and back. Malformed messages read as empty. */
final class EvidenceCodec {
    private EvidenceCodec() {}

    static VersionEvidence encode(EvidenceReport report) {
        return VersionEvidence.newBuilder()
                .setVersion(report.version().toString())
                .setOrigin(report.origin())
                .setAnswers(report.evidence().answers())
                .setErrors(report.evidence().errors())
                .setSlow(report.evidence().slow())
                .setRatings(report.evidence().ratings())
                .setRatingShortfall(report.evidence().ratingShortfall())
                .setShortfallSquares(report.evidence().shortfallSquares())
                .build();
    }

    static Optional<EvidenceReport> decode(VersionEvidence message) {
        Evidence evidence = new Evidence(
                message.getAnswers(),
                message.getErrors(),
                message.getSlow(),
                message.getRatings(),
                message.getRatingShortfall(),
                message.getShortfallSquares());
        return VersionId.parse(message.getVersion())
                .map(version -> new EvidenceReport(message.getOrigin(), version, evidence));
    }

    static VersionStopped encode(VersionStop stop) {
        return VersionStopped.newBuilder()
                .setVersion(stop.version().toString())
                .setCause(stop.cause().name())
                .setAtEpochMillis(stop.atEpochMillis())
                .setTrials(stop.trials())
                .setRate(stop.rate())
                .build();
    }

    static Optional<VersionStop> decode(VersionStopped message) {
        Optional<VersionStop.StopCause> cause = cause(message.getCause());
        Optional<VersionId> version = VersionId.parse(message.getVersion());
        if (cause.isEmpty() || version.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new VersionStop(
                version.get(), cause.get(), message.getAtEpochMillis(), message.getTrials(), message.getRate()));
    }

    private static Optional<VersionStop.StopCause> cause(String name) {
        for (VersionStop.StopCause cause : VersionStop.StopCause.values()) {
            if (cause.name().equals(name)) {
                return Optional.of(cause);
            }
        }
        return Optional.empty();
    }

    static KindEvidence encode(QualityReport report) {
        return KindEvidence.newBuilder()
                .setVersion(report.version().toString())
                .setOrigin(report.origin())
                .setAccount(report.kind().account())
                .setCascade(report.kind().cascade())
                .setLengthBucket(report.kind().lengthBucket())
                .setRatings(report.evidence().ratings())
                .setSum(report.evidence().sum())
                .setSquareSum(report.evidence().squareSum())
                .setShorts(report.evidence().belowTarget())
                .setShortSum(report.evidence().belowTargetSum())
                .build();
    }

    static Optional<QualityReport> decode(KindEvidence message) {
        RequestKind kind = new RequestKind(message.getAccount(), message.getCascade(), message.getLengthBucket());
        QualityEvidence evidence = new QualityEvidence(
                message.getRatings(),
                message.getSum(),
                message.getSquareSum(),
                message.getShorts(),
                message.getShortSum());
        return VersionId.parse(message.getVersion())
                .map(version -> new QualityReport(message.getOrigin(), version, kind, evidence));
    }

    static Usage encode(DemandReport report) {
        Usage.Builder usage = Usage.newBuilder().setOrigin(report.origin()).setSlot(report.slot());
        report.demandByAccount()
                .forEach((account, demand) -> usage.addAccounts(
                        AccountDemand.newBuilder().setAccount(account).setDemand(demand)));
        return usage.build();
    }

    static DemandReport decode(Usage message) {
        ImmutableMap.Builder<String, Double> demand = ImmutableMap.builder();
        message.getAccountsList().forEach(account -> demand.put(account.getAccount(), account.getDemand()));
        return new DemandReport(message.getOrigin(), message.getSlot(), demand.buildKeepingLast());
    }
}
