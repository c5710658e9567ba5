package baobabcroft.experiment;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Generates the requests of a scenario as an open loop, identical for every policy. */
final class Workload {
    static final int ACCOUNTS = 10;
    static final double MEAN_OUTPUT_TOKENS = 150;
    static final double MEAN_PREFILL_STEPS = 6;

    private static final double[] ACCOUNT_WEIGHTS = {0.3, 0.2, 0.15, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05};
    private static final double[] REGION_WEIGHTS = {0.45, 0.3, 0.25};
    private static final double[] EASY_REQUEST_QUALITY = {0.86, 0.88, 0.93};
    private static final double[] QUALITY_LOSS_BY_DIFFICULTY = {0.5, 0.28, 0.12};
    private static final double QUALITY_NOISE = 0.12;
    private static final double TOKENS_SIGMA = 0.6;
    private static final int PREFIXES_PER_ACCOUNT = 8;
    private static final int MAX_OUTPUT_TOKENS = 800;

    private final Scenario scenario;
    private final Deployment deployment;
    private final UniformRandomProvider random;
    private final double[] accountDifficulty = new double[ACCOUNTS];
    private final List<SimRequest> requests = new ArrayList<>();

    private Workload(Scenario scenario, Deployment deployment, long seed) {
        this.scenario = scenario;
        this.deployment = deployment;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        for (int i = 0; i < ACCOUNTS; i++) {
            accountDifficulty[i] = random.nextDouble();
        }
    }

    static List<SimRequest> generate(Scenario scenario, Deployment deployment, double capacityPerMilli, long seed) {
        Workload workload = new Workload(scenario, deployment, seed);
        workload.addArrivals(capacityPerMilli * scenario.loadFactor(), false);
        if (scenario.floodFactor() > 0) {
            workload.addArrivals(capacityPerMilli * scenario.floodFactor(), true);
        }
        return workload.requests;
    }

    private void addArrivals(double perMilli, boolean flood) {
        double atMillis = 0;
        while (true) {
            atMillis -= Math.log(1 - random.nextDouble()) / perMilli;
            if (atMillis > scenario.durationMillis()) {
                return;
            }
            requests.add(request(atMillis, flood ? 0 : pickIndex(ACCOUNT_WEIGHTS), false));
        }
    }

    /** Returns one copy of the poison request. */
    static SimRequest poison(Deployment deployment, int id, double atMillis, int instance) {
        List<Double> qualities = List.of(1.0, 1.0, 1.0);
        return new SimRequest(
                id,
                atMillis,
                ACCOUNTS - 1,
                0,
                instance % deployment.instances(),
                200,
                200,
                -1,
                100,
                200,
                deployment.defaultDeadlineMillis(),
                qualities,
                0.5,
                true);
    }

    private SimRequest request(double atMillis, int account, boolean poison) {
        int lengthClass = random.nextInt(3);
        int prefixTokens = 100 + 300 * lengthClass;
        int suffixTokens = 50 + random.nextInt(100 + 200 * lengthClass);
        double scale = MEAN_OUTPUT_TOKENS / Math.exp(TOKENS_SIGMA * TOKENS_SIGMA / 2);
        int output = (int) Math.max(5, Math.min(MAX_OUTPUT_TOKENS, scale * Math.exp(TOKENS_SIGMA * gaussian())));
        int max = Math.min(MAX_OUTPUT_TOKENS, (int) (output * (1 + random.nextDouble())));
        boolean urgent = random.nextDouble() < deployment.urgentShare();
        long prefix = (long) account * 100 + lengthClass * 10L + random.nextInt(PREFIXES_PER_ACCOUNT);
        return new SimRequest(
                requests.size(),
                atMillis,
                account,
                urgent ? 1 : 0,
                instanceInRegion(pickIndex(REGION_WEIGHTS)),
                prefixTokens + suffixTokens,
                suffixTokens,
                prefix,
                output,
                max,
                urgent ? deployment.urgentDeadlineMillis() : deployment.defaultDeadlineMillis(),
                qualities(account, lengthClass),
                random.nextDouble(),
                poison);
    }

    private List<Double> qualities(int account, int lengthClass) {
        double requestDifficulty = Math.min(1, 0.8 * accountDifficulty[account] + 0.1 * lengthClass);
        double sharedNoise = QUALITY_NOISE * gaussian();
        List<Double> qualities = new ArrayList<>();
        for (int i = 0; i < EASY_REQUEST_QUALITY.length; i++) {
            double modelNoise = QUALITY_NOISE * gaussian();
            double noise = (sharedNoise + modelNoise) / Math.sqrt(2);
            qualities.add(Math.max(
                    0,
                    Math.min(1, EASY_REQUEST_QUALITY[i] - QUALITY_LOSS_BY_DIFFICULTY[i] * requestDifficulty + noise)));
        }
        return qualities;
    }

    /** Returns a random instance of a region, because the platform's load balancer distributes requests evenly. */
    private int instanceInRegion(int region) {
        int regions = deployment.regions().size();
        return region + regions * random.nextInt(deployment.instances() / regions);
    }

    private int pickIndex(double[] weights) {
        double remainingWeight = random.nextDouble();
        for (int i = 0; i < weights.length; i++) {
            remainingWeight -= weights[i];
            if (remainingWeight < 0) {
                return i;
            }
        }
        return weights.length - 1;
    }

    private double gaussian() {
        return Math.sqrt(-2 * Math.log(1 - random.nextDouble())) * Math.cos(2 * Math.PI * random.nextDouble());
    }
}
