package baobabcroft.experiment;

import java.util.List;
import java.util.Optional;

/**
 * Workload and faults of an experiment.
 *
 * @param name name of the scenario in options and results
 * @param family determines which policies are compared
 * @param durationMillis duration of the arrivals, in milliseconds
 * @param loadFactor arrival rate as a multiple of the capacity
 * @param floodFactor additional arrival rate of the largest account as a multiple of the capacity
 * @param limitFactor each account's request rate limit as a multiple of the capacity
 * @param newVersionSharePercent traffic share of a second version, in percent; zero if there is only one version
 * @param degradation how the second version degrades at half time; empty if it does not
 * @param outage endpoints that go down at half time
 * @param poison whether a poison request is sent repeatedly, which crashes every endpoint that executes it
 */
record Scenario(
        String name,
        Family family,
        double durationMillis,
        double loadFactor,
        double floodFactor,
        double limitFactor,
        int newVersionSharePercent,
        Optional<Degradation> degradation,
        Outage outage,
        boolean poison) {
    private static final double MINUTE_MILLIS = 60_000;

    /** Group of scenarios that compare the same set of policies. */
    enum Family {
        COST,
        LOAD,
        ROLLOUT,
        POISON
    }

    /** Kind of degradation of a version. */
    enum Degradation {
        ERRORS,
        QUALITY,
        SLOWNESS
    }

    /** Extent of the outage, which lasts for one minute. */
    enum Outage {
        NONE,
        ENDPOINT,
        FAILURE_DOMAIN
    }

    static List<Scenario> all() {
        return List.of(
                load("ordinary-load", 0.5, 0, Outage.NONE),
                load("overload", 2, 0, Outage.NONE),
                load("flood", 0.5, 2, Outage.NONE),
                load("endpoint-lost", 0.6, 0, Outage.ENDPOINT),
                load("domain-lost", 0.6, 0, Outage.FAILURE_DOMAIN),
                rollout("bad-errors-5", 5, Degradation.ERRORS),
                rollout("bad-errors-50", 50, Degradation.ERRORS),
                rollout("bad-quality-5", 5, Degradation.QUALITY),
                rollout("bad-quality-50", 50, Degradation.QUALITY),
                rollout("bad-slowness-5", 5, Degradation.SLOWNESS),
                rollout("bad-slowness-50", 50, Degradation.SLOWNESS),
                new Scenario(
                        "poison",
                        Family.POISON,
                        10 * MINUTE_MILLIS,
                        0.5,
                        0,
                        10,
                        0,
                        Optional.empty(),
                        Outage.NONE,
                        true),
                new Scenario(
                        "ordinary-cost",
                        Family.COST,
                        60 * MINUTE_MILLIS,
                        0.5,
                        0,
                        10,
                        0,
                        Optional.empty(),
                        Outage.NONE,
                        false));
    }

    static Optional<Scenario> named(String name) {
        return all().stream().filter(scenario -> scenario.name().equals(name)).findFirst();
    }

    private static Scenario load(String name, double loadFactor, double floodFactor, Outage outage) {
        double limitFactor = floodFactor > 0 ? 1 : 10;
        return new Scenario(
                name,
                Family.LOAD,
                10 * MINUTE_MILLIS,
                loadFactor,
                floodFactor,
                limitFactor,
                0,
                Optional.empty(),
                outage,
                false);
    }

    private static Scenario rollout(String name, int sharePercent, Degradation degradation) {
        return new Scenario(
                name,
                Family.ROLLOUT,
                30 * MINUTE_MILLIS,
                0.5,
                0,
                10,
                sharePercent,
                Optional.of(degradation),
                Outage.NONE,
                false);
    }

    double halfTimeMillis() {
        return durationMillis / 2;
    }

    boolean isCascade() {
        return family == Family.COST;
    }
}
