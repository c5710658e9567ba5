package baobabcroft.replica;

import baobabcroft.fake.VirtualTime;
import baobabcroft.replica.SimulatedFleet.Instance;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** One failure domain on links with a rate, and how old the view of the store becomes at any of its instances. */
final class ViewAgeModel {
    /** Time between two changes of a series. */
    static final long CHANGE_INTERVAL_MILLIS = 330;

    static final int CHANGES = 12;
    private static final long START_MILLIS = 30_000;
    private static final long END_MILLIS = 30_000;
    private static final long SAMPLE_MILLIS = 10;
    private static final String CONFIGURATION = "configuration";
    private static final String ENDPOINT = "endpoint";
    /** What an instance shows of a key that it has not received. */
    private static final String NOTHING = "-1";

    private final VirtualTime time = new VirtualTime();
    private final SimulatedStore store = new SimulatedStore(time);
    private final SimulatedFleet fleet = new SimulatedFleet(time, store);
    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(7);
    private final List<Instance> observed = new ArrayList<>();
    private final List<Write> pending = new ArrayList<>();
    private final int routes;
    private long oldestMillis;

    /** A write that some instances do not show yet. */
    private record Write(String key, int number, long atMillis) {}

    private ViewAgeModel(int routes) {
        this.routes = routes;
    }

    /** Starts instances with equal links and a configuration of so many routes, of about 300 bytes each. */
    static ViewAgeModel start(int instances, double linkMegabitsPerSecond, int routes) {
        ViewAgeModel model = new ViewAgeModel(routes);
        model.store.put(CONFIGURATION, model.configuration(0));
        model.store.put(ENDPOINT, "0");
        for (int i = 0; i < instances; i++) {
            model.observed.add(model.fleet.start("instance-" + i, linkMegabitsPerSecond));
        }
        model.time.advance(START_MILLIS);
        return model;
    }

    SimulatedFleet fleet() {
        return fleet;
    }

    SimulatedStore store() {
        return store;
    }

    /** Returns the instance that reads the store for the others. */
    Instance source() {
        return fleet.polling().get(0);
    }

    /** Leaves out an instance whose own view may be old. */
    void excuse(Instance instance) {
        observed.remove(instance);
    }

    private String configuration(int version) {
        StringBuilder text = new StringBuilder("{\"version\":" + version + ",\"routes\":[");
        for (int i = 0; i < routes; i++) {
            String name = Long.toString(random.nextLong(1L << 36), 36);
            text.append("{\"name\":\"r-" + name + "\",\"host\":\"caller.example\",\"pathPrefix\":\"/" + name
                    + "/\",\"kind\":\"streaming\",\"timeoutMillis\":6000,\"goalMillis\":2008,\"priority\":0,\"sizes\":"
                    + "[\"small\",\"medium\",\"large\"],\"service\":\"models\",\"attempts\":3,\"public\":false,"
                    + "\"sticky\":true,\"resumable\":true,\"maxGapMillis\":1000},");
        }
        return text.append("]}").toString();
    }

    void changeEndpoint(int number) {
        write(ENDPOINT, number, Integer.toString(number));
    }

    private void write(String key, int number, String value) {
        store.put(key, value);
        pending.add(new Write(key, number, time.nowMillis()));
    }

    /** Lets time pass and notes how old the view of any instance becomes. */
    void advance(long millis) {
        long endMillis = time.nowMillis() + millis;
        while (time.nowMillis() < endMillis) {
            time.advance(SAMPLE_MILLIS);
            pending.forEach(write -> oldestMillis = Math.max(oldestMillis, time.nowMillis() - write.atMillis()));
            pending.removeIf(write -> isEverywhere(write.key(), write.number()));
        }
    }

    private boolean isEverywhere(String key, int number) {
        return observed.stream()
                .allMatch(instance -> numberOf(instance.contents().getOrDefault(key, NOTHING)) >= number);
    }

    private static int numberOf(String text) {
        String digits = text.startsWith("{") ? text.substring("{\"version\":".length(), text.indexOf(',')) : text;
        return Integer.parseInt(digits);
    }

    /** Writes a series of configurations, and with each a change of an endpoint, and waits until they have arrived. */
    void changeInSeries(int changes) {
        for (int number = 1; number <= changes; number++) {
            write(CONFIGURATION, number, configuration(number));
            changeEndpoint(number);
            advance(CHANGE_INTERVAL_MILLIS);
        }
        advance(END_MILLIS);
    }

    /** Returns the longest time that any change took to reach all observed instances, or has taken so far. */
    long oldestMillis() {
        return oldestMillis;
    }
}
