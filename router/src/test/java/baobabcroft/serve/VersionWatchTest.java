package baobabcroft.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import baobabcroft.config.ConfigContext;
import baobabcroft.config.ConfigNode;
import baobabcroft.config.ConfigTimings;
import baobabcroft.fake.FakePeerNetwork;
import baobabcroft.fake.FakeProcess;
import baobabcroft.fake.FakeStore;
import baobabcroft.fake.VirtualTime;
import baobabcroft.membership.Members;
import baobabcroft.metrics.RouterMetrics;
import baobabcroft.rollout.EvidenceLedger;
import baobabcroft.rollout.StoppedVersions;
import baobabcroft.rollout.VersionStop;
import baobabcroft.rules.RulesParser;
import baobabcroft.rules.VersionId;
import baobabcroft.rules.VersionRule;
import baobabcroft.rules.VersionState;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class VersionWatchTest {
    private static final VersionId FIRST = new VersionId("film", "1");
    private static final VersionId SECOND = new VersionId("film", "2");

    private final VirtualTime time = new VirtualTime();
    private final VersionWatch watch = new VersionWatch(
            EvidenceLedger.create("self"),
            StoppedVersions.create(),
            node(),
            RouterMetrics.create(),
            time.scheduler(),
            time.wallClock());

    private ConfigNode node() {
        FakeProcess process = new FakeProcess(time);
        return ConfigNode.start(new ConfigContext(
                "self",
                1,
                new FakeStore(time).connect(),
                new FakePeerNetwork(time).join("self", process),
                Members.create(1_000_000_000L, 0),
                time.scheduler(),
                time.ticker(),
                time.wallClock(),
                ConfigTimings.defaults(),
                RulesParser::parse));
    }

    private static VersionRule open(VersionId id, int sharePercent) {
        return new VersionRule(id, VersionState.OPEN, sharePercent, 1, 0.9, false);
    }

    private static VersionStop stopOf(VersionId id) {
        return new VersionStop(id, VersionStop.StopCause.QUALITY, 0, 50, 0.5);
    }

    @Test
    void sendsNothingNewToAStoppedVersionWhileAnotherIsOpen() {
        watch.hear(stopOf(FIRST));

        for (int session = 0; session < 50; session++) {
            assertEquals(
                    Optional.of(SECOND), watch.choose(List.of(open(FIRST, 95), open(SECOND, 5)), "session-" + session));
        }
    }

    @Test
    void goesOnWithAStoppedVersionThatIsTheOnlyOne() {
        watch.hear(stopOf(FIRST));

        assertEquals(Optional.of(FIRST), watch.choose(List.of(open(FIRST, 100)), "session"));
    }
}
