package baobabcroft.replica;

import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.fake.VirtualTime;
import baobabcroft.replica.SimulatedFleet.Instance;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** How long changes of the store take to reach the instances of one failure domain whose links have a rate. */
class ViewAgeTest {
    /** Time within which a change must be in force at instances on links as narrow as these. */
    private static final long PROPAGATION_BOUND_MILLIS = 4_000;
    /** Time between two changes of a series. */
    private static final long CHANGE_INTERVAL_MILLIS = 330;

    /** The shortest bound of a deployment. */
    private static final long SHORTEST_BOUND_MILLIS = 3_000;
    /** Leaves half a second of that bound to requests that have been sent and to waits for a connection. */
    private static final long MAX_LOST_PATH_MILLIS = 2_500;

    private static final long SAMPLE_MILLIS = 10;
    private static final int CHANGES = 12;
    private static final String CONFIGURATION = "configuration";
    private static final String ENDPOINT = "endpoint";

    private final VirtualTime time = new VirtualTime();
    private final SimulatedStore store = new SimulatedStore(time);
    private final SimulatedFleet fleet = new SimulatedFleet(time, store);
    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(7);
    private final List<Instance> instances = new ArrayList<>();
    private final List<Write> pending = new ArrayList<>();
    private long oldestMillis;

    /** A write that some instances do not show yet. */
    private record Write(String key, int number, long atMillis) {}

    private void startInstances(int count, double linkMegabitsPerSecond, int routes) {
        store.put(CONFIGURATION, configuration(0, routes));
        store.put(ENDPOINT, "0");
        for (int i = 0; i < count; i++) {
            instances.add(fleet.start("instance-" + i, linkMegabitsPerSecond));
        }
        time.advance(30_000);
    }

    /** Returns a configuration as large as that of an operator with so many routes. */
    private String configuration(int version, int routes) {
        StringBuilder text = new StringBuilder("{\"version\":" + version + ",\"routes\":[");
        for (int i = 0; i < routes; i++) {
            String name = Long.toString(random.nextLong(1L << 36), 36);
            text.append("{\"name\":\"r-" + name + "\",\"host\":\"caller.example\",\"path_prefix\":\"/" + name
                    + "/\",\"kind\":\"streaming\",\"timeout_ms\":6000,\"goal_ms\":2008,\"priority\":0,\"sizes\":"
                    + "[\"small\",\"medium\",\"large\"],\"service\":\"models\",\"attempts\":3,\"public\":false,"
                    + "\"sticky\":true,\"resumable\":true,\"gap_target_ms\":1000},");
        }
        return text.append("]}").toString();
    }

    private void write(String key, int number, String value) {
        store.put(key, value);
        pending.add(new Write(key, number, time.nowMillis()));
    }

    /** Lets time pass and notes how old the view of any instance becomes. */
    private void advance(long millis) {
        long endMillis = time.nowMillis() + millis;
        while (time.nowMillis() < endMillis) {
            time.advance(SAMPLE_MILLIS);
            pending.forEach(write -> oldestMillis = Math.max(oldestMillis, time.nowMillis() - write.atMillis()));
            pending.removeIf(write -> isEverywhere(write.key(), write.number()));
        }
    }

    private boolean isEverywhere(String key, int number) {
        return instances.stream()
                .allMatch(instance -> numberOf(instance.contents().get(key)) >= number);
    }

    private static int numberOf(String text) {
        String digits = text.startsWith("{") ? text.substring("{\"version\":".length(), text.indexOf(',')) : text;
        return Integer.parseInt(digits);
    }

    /** Writes a series of configurations and endpoint entries; returns how long the slowest took to be everywhere. */
    private long oldestViewMillis(int changes, int routes) {
        for (int number = 1; number <= changes; number++) {
            write(CONFIGURATION, number, configuration(number, routes));
            write(ENDPOINT, number, Integer.toString(number));
            advance(CHANGE_INTERVAL_MILLIS);
        }
        advance(5 * PROPAGATION_BOUND_MILLIS);
        return oldestMillis;
    }

    /**
     * A change reaches all instances in time while large configurations come in series. Followers of an instance on a
     * narrow link used to apply each version after all former ones had been sent to all of them.
     */
    @ParameterizedTest
    @CsvSource({"2, 7", "14, 7", "14, 140", "50, 7", "50, 140"})
    void changesArriveInTimeDuringSeriesOfLargeConfigurations(int count, double linkMegabitsPerSecond) {
        startInstances(count, linkMegabitsPerSecond, 1_400);
        long oldest = oldestViewMillis(CHANGES, 1_400);

        assertTrue(oldest <= PROPAGATION_BOUND_MILLIS, "oldest view: " + oldest + " ms");
    }

    /** The same for one change alone. */
    @Test
    void singleChangeOfLargeConfigurationArrivesInTime() {
        startInstances(14, 7, 1_400);
        long oldest = oldestViewMillis(1, 1_400);

        assertTrue(oldest <= PROPAGATION_BOUND_MILLIS, "oldest view: " + oldest + " ms");
    }

    /** The source's messages arrive late. */
    @Test
    void changeArrivesInTimeWhileOutgoingLinkOfTheSourceIsFull() {
        startInstances(8, 140, 10);
        fleet.slowOutgoingLink(fleet.polling().get(0), 0.02);
        long oldest = oldestViewMillis(CHANGES, 10);

        assertTrue(oldest <= SHORTEST_BOUND_MILLIS, "oldest view: " + oldest + " ms");
    }

    /**
     * The source receives the store's responses slowly and sends heartbeats in time. Guards against CONFIG: followers
     * took any message for contact with the store, however old the view was that it carried.
     */
    @Test
    void changeArrivesInTimeWhileIncomingLinkOfTheSourceIsFull() {
        startInstances(8, 140, 10);
        Instance source = fleet.polling().get(0);
        fleet.slowIncomingLink(source, 0.001);
        instances.remove(source);
        long oldest = oldestViewMillis(CHANGES, 10);

        assertTrue(oldest <= SHORTEST_BOUND_MILLIS, "oldest view: " + oldest + " ms");
    }

    /** The store stops responding to the source at different times of its watch; the others could read it. */
    @Test
    void changeArrivesInTimeAfterSourceLostItsPath() {
        startInstances(8, 140, 10);
        for (int cut = 0; cut < 6; cut++) {
            advance(10_000 + 230 * cut);
            store.cut(fleet.polling().get(0).name());
            instances.remove(fleet.polling().get(0));
            write(ENDPOINT, 100 + cut, Integer.toString(100 + cut));
            advance(SHORTEST_BOUND_MILLIS);
        }

        assertTrue(oldestMillis <= MAX_LOST_PATH_MILLIS, "oldest view: " + oldestMillis + " ms");
    }
}
