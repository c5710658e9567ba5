package baobabcroft.experiment;

import java.util.Map;
import java.util.Set;

/**
 * What one run measured.
 *
 * @param scenario the scenario
 * @param deployment the deployment
 * @param policy the policy
 * @param seed the seed
 * @param offered requests that arrived
 * @param answeredShare share of them that were answered in time
 * @param goodputShare answers in time as a part of the capacity
 * @param lateShare share of the started requests that missed their deadline or failed
 * @param firstTokenMillis percentiles of the time to the first token, in milliseconds
 * @param endMillis percentiles of the time to the end of the answer, in milliseconds
 * @param startedP99Millis 99th percentile of started urgent requests' time, late ones counted at their deadline
 * @param results requests by what became of them
 * @param retriesPerRequest retries a request
 * @param crossRegionMegabytes bytes between regions, in millions
 * @param costMicrosPerAnswer price of all answers, used or not, an answer
 * @param quality mean quality of the answers
 * @param ratings ratings asked for
 * @param escalations answers that were followed by a dearer model's
 * @param exposure requests that the bad version handled after it turned
 * @param referenceExposure those that the best sequential test would have let through
 * @param crashes endpoints that crashed
 * @param smallAccountsShare share of the small accounts' requests that were answered in time
 * @param urgentShare share of urgent requests that were answered in time
 * @param stopped versions that were stopped, with the cause
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
     * Percentiles of a time.
     *
     * @param p50 the median
     * @param p95 the 95th
     * @param p99 the 99th
     */
    record Percentiles(long p50, long p95, long p99) {}
}
