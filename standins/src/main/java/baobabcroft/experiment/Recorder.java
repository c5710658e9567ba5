package baobabcroft.experiment;

import baobabcroft.experiment.Result.Percentiles;
import baobabcroft.retry.RetryDecision.StopReason;
import baobabcroft.rollout.AnswerOutcome;
import baobabcroft.rules.VersionId;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Collects the measurements of one run. */
final class Recorder {
    private static final int FIRST_SMALL_ACCOUNT = 3;
    private static final long MAX_MILLIS = 600_000;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double BYTES_PER_MEGABYTE = 1e6;

    private final Fleet fleet;
    private final SequentialReference reference;
    private final Histogram firstToken = new Histogram(MAX_MILLIS, SIGNIFICANT_DIGITS);
    private final Histogram end = new Histogram(MAX_MILLIS, SIGNIFICANT_DIGITS);
    private final Histogram startedUrgent = new Histogram(MAX_MILLIS, SIGNIFICANT_DIGITS);
    private final Map<String, Integer> results = new TreeMap<>();
    private final List<Double> exposedSentMillis = new ArrayList<>();
    private int offered;
    private int offeredSmall;
    private int offeredUrgent;
    private int answered;
    private int answeredSmall;
    private int answeredUrgent;
    private int started;
    private int startedLate;
    private int retries;
    private int ratings;
    private int escalations;
    private long crossRegionBytes;
    private double costMicros;
    private double qualitySum;

    Recorder(Fleet fleet, SequentialReference reference) {
        this.fleet = fleet;
        this.reference = reference;
    }

    void recordOffered(SimRequest request) {
        offered++;
        offeredSmall += isSmall(request) ? 1 : 0;
        offeredUrgent += request.priority() > 0 ? 1 : 0;
    }

    private static boolean isSmall(SimRequest request) {
        return request.account() >= FIRST_SMALL_ACCOUNT;
    }

    void recordDelivered(SimRequest request, double firstMillis, double endMillis, double quality) {
        firstToken.recordValue((long) firstMillis);
        end.recordValue((long) endMillis);
        qualitySum += quality;
        answered++;
        answeredSmall += isSmall(request) ? 1 : 0;
        answeredUrgent += request.priority() > 0 ? 1 : 0;
        if (request.priority() > 0) {
            startedUrgent.recordValue((long) endMillis);
        }
    }

    void recordFinished(SimRequest request, String result, boolean wasStarted) {
        results.merge(result, 1, Integer::sum);
        started += wasStarted ? 1 : 0;
        if (wasStarted && !result.equals("answered")) {
            startedLate++;
            if (request.priority() > 0) {
                startedUrgent.recordValue((long) request.deadlineMillis() + 1);
            }
        }
    }

    void recordRetry() {
        retries++;
    }

    void recordRetryStopped(StopReason reason) {
        results.merge("retry_" + reason.name().toLowerCase(java.util.Locale.ROOT), 1, Integer::sum);
    }

    void recordRatingRequest() {
        ratings++;
    }

    void recordEscalation() {
        escalations++;
    }

    void recordCrossRegionBytes(long bytes) {
        crossRegionBytes += bytes;
    }

    void recordCost(double micros) {
        costMicros += micros;
    }

    void recordVersionOutcome(VersionId version, double sentMillis, AnswerOutcome outcome) {
        if (isDegraded(version)) {
            exposedSentMillis.add(sentMillis);
            reference.recordOutcome(outcome, fleet.loop().nowMillis());
        }
    }

    void recordVersionRating(VersionId version, double sentMillis, double rating) {
        if (isDegraded(version) && sentMillis >= fleet.scenario().halfTimeMillis()) {
            reference.recordRating(rating, fleet.loop().nowMillis());
        }
    }

    private boolean isDegraded(VersionId version) {
        Scenario scenario = fleet.scenario();
        return scenario.degradation().isPresent()
                && version.version().equals("2")
                && fleet.loop().nowMillis() >= scenario.halfTimeMillis();
    }

    Result result(Policy policy, long seed, double capacityPerMilli, Set<String> stopped) {
        int referenceExposure = (int) exposedSentMillis.stream()
                .filter(sentMillis -> sentMillis < reference.detectedAtMillis())
                .count();
        return new Result(
                fleet.scenario().name(),
                fleet.deployment().name(),
                policy.name(),
                seed,
                offered,
                share(answered, offered),
                answered / (capacityPerMilli * fleet.scenario().durationMillis()),
                share(startedLate, started),
                percentiles(firstToken),
                percentiles(end),
                startedUrgent.getValueAtPercentile(99),
                results,
                share(retries, offered),
                crossRegionBytes / BYTES_PER_MEGABYTE,
                answered == 0 ? 0 : costMicros / answered,
                answered == 0 ? 0 : qualitySum / answered,
                ratings,
                escalations,
                exposedSentMillis.size(),
                referenceExposure,
                fleet.engines().stream().mapToInt(Engine::crashes).sum(),
                share(answeredSmall, offeredSmall),
                share(answeredUrgent, offeredUrgent),
                stopped);
    }

    private static double share(int part, int whole) {
        return whole == 0 ? 0 : (double) part / whole;
    }

    private static Percentiles percentiles(Histogram histogram) {
        return new Percentiles(
                histogram.getValueAtPercentile(50),
                histogram.getValueAtPercentile(95),
                histogram.getValueAtPercentile(99));
    }
}
