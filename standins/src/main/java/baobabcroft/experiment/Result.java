package baobabcroft.experiment;

import java.util.Map;
import java.util.Set;

/**
 * Measurements of one run.
 *
 * @param scenario name of the scenario
 * @param deployment name of the deployment
 * @param policy name of the policy
 * @param seed seed of the workload
 * @param offered number of requests that arrived
 * @param answeredShare share of the offered requests that were answered before their deadline
 * @param goodputShare answers before the deadline as a share of the capacity
 * @param lateShare share of the requests sent to an endpoint that missed their deadline or failed
 * @param firstTokenMillis percentiles of the time from arrival to the first token, in milliseconds
 * @param endMillis percentiles of the time from arrival to the end of the answer, in milliseconds
 * @param startedP99Millis 99th percentile of the total time of urgent requests sent to an endpoint, in milliseconds;
 *     unanswered ones count as just past their deadline
 * @param results number of requests by outcome, and of stopped retries by reason with the prefix {@code retry_}
 * @param retriesPerRequest mean number of retries per offered request
 * @param crossRegionMegabytes traffic between regions, in megabytes
 * @param costMicrosPerAnswer price of all generated answers, delivered or not, per delivered answer, in millionths
 * @param quality mean quality of the delivered answers, from zero to one
 * @param ratings number of requested ratings
 * @param escalations number of escalations to a more expensive model
 * @param exposure number of attempts that ended on the degraded version after its degradation
 * @param referenceExposure number of these sent before the optimal sequential test detected the degradation
 * @param crashes number of endpoint crashes
 * @param smallAccountsShare share of the small accounts' requests that were answered before their deadline
 * @param urgentShare share of the urgent requests that were answered before their deadline
 * @param stopped versions that were stopped automatically, each followed by the cause
 */
record Result(
        String scenario,
        String deployment,
        String policy,
        long seed,
        int offered,
        double answeredShare,
        double goodputShare,
        double lateShare,
        Percentiles firstTokenMillis,
        Percentiles endMillis,
        double startedP99Millis,
        Map<String, Integer> results,
        double retriesPerRequest,
        double crossRegionMegabytes,
        double costMicrosPerAnswer,
        double quality,
        int ratings,
        int escalations,
        int exposure,
        int referenceExposure,
        int crashes,
        double smallAccountsShare,
        double urgentShare,
        Set<String> stopped) {
    /**
     * Percentiles of a duration, in the unit of the component that holds them.
     *
     * @param p50 median
     * @param p95 95th percentile
     * @param p99 99th percentile
     */
    record Percentiles(long p50, long p95, long p99) {}
}
