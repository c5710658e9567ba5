package baobabcroft.notice;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.load.EndpointKey;
import baobabcroft.load.PeerLoads;
import baobabcroft.load.PeerLoads.Load;
import baobabcroft.notice.proto.PeerNotice;
import baobabcroft.rollout.DomainRolloutCounts;
import baobabcroft.rollout.RolloutCounts;
import baobabcroft.rollout.RouteTrials;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class NoticeTest {
    private static final EndpointKey ENGINE = EndpointKey.of("engine-1");

    private long nowMillis = 1_000;

    private static RolloutCounts counts(long order, long answers, long failed) {
        return new RolloutCounts(order, ImmutableMap.of("chat", new RouteTrials(answers, failed, 0)));
    }

    @Nested
    class Contents {
        @Test
        void comeBackFromTheWireAsTheyWere() {
            NoticeContents contents = new NoticeContents(
                    ImmutableMap.of(ENGINE, new Load(3, 250)), ImmutableMap.of("engines", counts(7, 20, 2)));
            PeerNotice.Builder notice = PeerNotice.newBuilder();
            contents.addTo(notice);

            assertEquals(contents, NoticeContents.of(notice.build()));
        }

        @Test
        void ofAHundredEndpointsFitIntoOneDatagram() {
            ImmutableMap.Builder<EndpointKey, Load> loads = ImmutableMap.builder();
            for (int i = 0; i < 100; i++) {
                loads.put(EndpointKey.of("engine-" + i), new Load(100, 16_000));
            }
            PeerNotice.Builder notice =
                    PeerNotice.newBuilder().setInstance("front-north-a-1").setSequence(1L << 48);
            new NoticeContents(loads.build(), ImmutableMap.of()).addTo(notice);

            // A path of 1,500 bytes less the headers of IP and UDP.
            assertTrue(
                    notice.build().getSerializedSize() <= 1_472,
                    "" + notice.build().getSerializedSize());
        }
    }

    @Nested
    class Trials {
        @Test
        void ofADomainAreTheSumOfItsInstances() {
            DomainRolloutCounts trials = new DomainRolloutCounts();
            trials.setOwn("engines", counts(7, 20, 2));
            trials.setPeer("neighbour", ImmutableMap.of("engines", counts(7, 10, 1)));
            trials.setPeer("neighbour", ImmutableMap.of("engines", counts(7, 12, 1)));

            assertEquals(ImmutableMap.of("engines", counts(7, 32, 3)), trials.domainTotal());
        }

        @Test
        void ofAnEarlierOrderCountNoMore() {
            DomainRolloutCounts trials = new DomainRolloutCounts();
            trials.setOwn("engines", counts(8, 20, 2));
            trials.setPeer("neighbour", ImmutableMap.of("engines", counts(7, 10, 1)));

            assertEquals(ImmutableMap.of("engines", counts(8, 20, 2)), trials.domainTotal());
        }
    }

    /** Pattern: 84 instances in six failure domains, each with one request at an engine. */
    @Nested
    class ManyInstances {
        private static final int DOMAINS = 6;
        private static final int NEAR = 14;
        private static final int ROUNDS = 10;

        private final Random random = new Random(7);

        @Test
        void digestsShowNearlyAllOfTheFleetWhereOwnNoticesToSixDoNot() {
            int elsewhere = (DOMAINS - 1) * NEAR;
            double byDigests = meanRequestsSeen(true, NoticeExchange.farMillis(elsewhere));
            double byOwnNotices = meanRequestsSeen(false, 300);

            assertTrue(byDigests > 0.95 * elsewhere, "by digests: " + byDigests);
            assertTrue(byOwnNotices < 0.8 * elsewhere, "by own notices: " + byOwnNotices);
        }

        private double meanRequestsSeen(boolean digests, long roundMillis) {
            long startMillis = nowMillis;
            List<PeerLoads> fleet = new ArrayList<>();
            for (int i = 0; i < DOMAINS * NEAR; i++) {
                fleet.add(PeerLoads.create(() -> nowMillis));
            }
            for (int round = 0; round < ROUNDS; round++) {
                nowMillis += roundMillis;
                for (int sender = 0; sender < fleet.size(); sender++) {
                    tell(fleet, sender, round, digests);
                }
            }
            double seen = fleet.stream()
                    .mapToInt(each -> each.loadOf(ENGINE).inFlight())
                    .average()
                    .orElseThrow();
            nowMillis = startMillis;
            return seen;
        }

        private void tell(List<PeerLoads> fleet, int sender, int round, boolean digests) {
            List<Integer> far = new ArrayList<>();
            for (int other = 0; other < fleet.size(); other++) {
                if (other / NEAR != sender / NEAR) {
                    far.add(other);
                }
            }
            Collections.shuffle(far, random);
            int receivers = digests ? NoticeExchange.receiversElsewhere(far.size(), NEAR - 1) : 6;
            for (int receiver : far.subList(0, receivers)) {
                if (digests) {
                    fleet.get(receiver)
                            .updateFailureDomain("domain-" + sender / NEAR, Map.of(ENGINE, new Load(NEAR, 0)));
                } else {
                    fleet.get(receiver).updateInstance("instance-" + sender, round, Map.of(ENGINE, new Load(1, 0)));
                }
            }
        }
    }
}
