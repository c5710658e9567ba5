package baobabcroft.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.rollout.VersionStop.StopCause;
import baobabcroft.rules.VersionId;
import baobabcroft.rules.VersionRule;
import baobabcroft.rules.VersionState;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class BadVersionDetectorTest {
    private static final VersionRule NEW = rule("2");
    private static final VersionRule OLD = rule("1");
    private static final int STEP_MILLIS = 100;

    private static VersionRule rule(String version) {
        return new VersionRule(new VersionId("film", version), VersionState.OPEN, 50, 1, 0.8, false);
    }

    /** Feeds answers of which the new version has a share, and returns its answers until it was stopped. */
    private static Optional<Integer> run(
            int answers, double share, double newErrorRate, double oldErrorRate, UniformRandomProvider random) {
        EvidenceLedger ledger = EvidenceLedger.create("i");
        BadVersionDetector detector = BadVersionDetector.create(DetectorSettings.defaults(), ledger);
        int exposed = 0;
        for (int i = 0; i < answers; i++) {
            boolean isNew = random.nextDouble() < share;
            exposed += isNew ? 1 : 0;
            boolean failed = random.nextDouble() < (isNew ? newErrorRate : oldErrorRate);
            ledger.recordAnswer((isNew ? NEW : OLD).id(), new AnswerOutcome(failed, false));
            if (detector.check(NEW, List.of(OLD), (long) i * STEP_MILLIS).isPresent()) {
                return Optional.of(exposed);
            }
        }
        return Optional.empty();
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.01, 0.02, 0.1, 0.5})
    void falseAlarmsStayWithinTheBoundWhenVersionsAreAlike(double errorRate) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(11);
        int runs = 40;
        int answers = 1_000;
        int alarms = 0;
        for (int i = 0; i < runs; i++) {
            alarms += run(answers, 0.3, errorRate, errorRate, random).isPresent() ? 1 : 0;
        }
        double windowStarts =
                (double) answers * STEP_MILLIS / DetectorSettings.defaults().windowMillis();
        double bound = runs * windowStarts * DetectorSettings.defaults().falseAlarmRate();
        assertTrue(alarms <= Math.ceil(bound), "alarms: " + alarms);
    }

    @Test
    void alikeRatingsRaiseNoFalseAlarms() {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(11);
        int alarms = 0;
        for (int run = 0; run < 40; run++) {
            EvidenceLedger ledger = EvidenceLedger.create("i");
            BadVersionDetector detector = BadVersionDetector.create(DetectorSettings.defaults(), ledger);
            boolean alarm = false;
            for (int i = 0; i < 500 && !alarm; i++) {
                ledger.recordRating(NEW.id(), random.nextDouble() < 0.5 ? 1 : random.nextDouble());
                ledger.recordRating(OLD.id(), random.nextDouble() < 0.5 ? 1 : random.nextDouble());
                alarm = detector.check(NEW, List.of(OLD), (long) i * STEP_MILLIS)
                        .isPresent();
            }
            alarms += alarm ? 1 : 0;
        }
        assertTrue(alarms <= 1, "alarms: " + alarms);
    }

    @Test
    void findsErrorsSoonAtASmallShare() {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(11);
        assertTrue(run(4_000, 0.05, 0.3, 0.005, random).orElseThrow() < 60);
    }

    @Test
    void evidenceOfOneOriginCountsOnce() {
        EvidenceLedger ledger = EvidenceLedger.create("i");
        EvidenceReport report = new EvidenceReport("j", NEW.id(), new Evidence(10, 4, 0, 0, 0, 0));
        ledger.merge(report);
        ledger.merge(report);
        ledger.merge(new EvidenceReport("i", NEW.id(), new Evidence(10, 4, 0, 0, 0, 0)));
        assertEquals(new Evidence(10, 4, 0, 0, 0, 0), ledger.total(NEW.id()));
    }

    @Test
    void findsLowRatingsAfterALongGoodTime() {
        EvidenceLedger ledger = EvidenceLedger.create("i");
        BadVersionDetector detector = BadVersionDetector.create(DetectorSettings.defaults(), ledger);
        for (int i = 0; i < 5_000; i++) {
            ledger.recordRating(NEW.id(), 0.8);
        }
        assertTrue(detector.check(NEW, List.of(), 0).isEmpty());
        for (int i = 0; i < 100; i++) {
            ledger.recordRating(NEW.id(), 0.4);
        }
        assertEquals(
                StopCause.QUALITY,
                detector.check(NEW, List.of(), 1_000).orElseThrow().cause());
    }

    @Nested
    final class Stops {
        private final StoppedVersions stops = StoppedVersions.create();
        private final VersionStop stop = new VersionStop(NEW.id(), StopCause.ERRORS, 5, 10, 0.4);

        @Test
        void theStoppedShareGoesToTheOtherOpenVersions() {
            assertTrue(stops.add(stop));
            for (int i = 0; i < 50; i++) {
                assertEquals(
                        Optional.of(OLD.id()), VersionAssignment.assign("s" + i, List.of(OLD, NEW), stops::isStopped));
            }
            assertEquals(Optional.empty(), VersionAssignment.assign("s", List.of(NEW), stops::isStopped));
        }

        @Test
        void theOperatorCanOverrule() {
            stops.add(stop);
            assertFalse(stops.isStopped(new VersionRule(NEW.id(), VersionState.OPEN, 50, 1, 0.8, true)));
            assertTrue(stops.isStopped(NEW));
        }

        @Test
        void theSameFindingIsNewOnce() {
            assertTrue(stops.add(stop));
            assertFalse(stops.add(new VersionStop(NEW.id(), StopCause.ERRORS, 6, 10, 0.4)));
        }
    }

    @Nested
    final class Assignment {
        private VersionRule withShare(String version, int sharePercent) {
            return new VersionRule(new VersionId("film", version), VersionState.OPEN, sharePercent, 1, 0.8, false);
        }

        private VersionId assign(int session, VersionRule... rules) {
            return VersionAssignment.assign("s" + session, List.of(rules), rule -> false)
                    .orElseThrow();
        }

        @Test
        void followsTheShares() {
            int withNew = 0;
            for (int i = 0; i < 10_000; i++) {
                withNew += assign(i, withShare("1", 95), withShare("2", 5))
                                .version()
                                .equals("2")
                        ? 1
                        : 0;
            }
            assertEquals(500, withNew, 80);
        }

        @Test
        void aGrowingShareOnlyGains() {
            for (int i = 0; i < 1_000; i++) {
                VersionId before = assign(i, withShare("1", 95), withShare("2", 5));
                VersionId after = assign(i, withShare("1", 50), withShare("2", 50));
                assertTrue(before.equals(after) || after.version().equals("2"));
            }
        }
    }
}
