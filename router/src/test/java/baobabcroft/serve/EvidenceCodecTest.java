package baobabcroft.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import baobabcroft.cascade.QualityEvidence;
import baobabcroft.cascade.QualityReport;
import baobabcroft.cascade.RequestKind;
import baobabcroft.limit.DemandReport;
import baobabcroft.peer.proto.VersionEvidence;
import baobabcroft.peer.proto.VersionStopped;
import baobabcroft.rollout.AnswerOutcome;
import baobabcroft.rollout.Evidence;
import baobabcroft.rollout.EvidenceReport;
import baobabcroft.rollout.VersionStop;
import baobabcroft.rules.VersionId;
import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class EvidenceCodecTest {
    private static final VersionId VERSION = new VersionId("film", "1");

    @Test
    void versionEvidenceRoundTrips() {
        Evidence evidence = Evidence.NONE
                .plus(new AnswerOutcome(true, false))
                .plus(new AnswerOutcome(false, true))
                .plusRating(0.25);
        EvidenceReport report = new EvidenceReport("a#1", VERSION, evidence);

        assertEquals(Optional.of(report), EvidenceCodec.decode(EvidenceCodec.encode(report)));
    }

    @Test
    void automaticStopsRoundTrip() {
        VersionStop stop = new VersionStop(VERSION, VersionStop.StopCause.QUALITY, 7, 50, 0.5);

        assertEquals(Optional.of(stop), EvidenceCodec.decode(EvidenceCodec.encode(stop)));
    }

    @Test
    void qualityReportsRoundTrip() {
        QualityReport report = new QualityReport(
                "a#1", VERSION, new RequestKind("shop", "assistant", 2), QualityEvidence.of(0.5, 0.75));

        assertEquals(Optional.of(report), EvidenceCodec.decode(EvidenceCodec.encode(report)));
    }

    @Test
    void demandReportsRoundTrip() {
        DemandReport report = new DemandReport("a#1", 9, ImmutableMap.of("shop", 1.5));

        assertEquals(report, EvidenceCodec.decode(EvidenceCodec.encode(report)));
    }

    @Test
    void malformedVersionAndUnknownCauseDecodeToEmpty() {
        assertEquals(
                Optional.empty(),
                EvidenceCodec.decode(
                        VersionEvidence.newBuilder().setVersion("film").build()));
        assertEquals(
                Optional.empty(),
                EvidenceCodec.decode(VersionStopped.newBuilder()
                        .setVersion("film@1")
                        .setCause("UNKNOWN_CAUSE")
                        .build()));
    }
}
