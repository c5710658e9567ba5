package baobabcroft.cascade;

/**
 * Mean quality of a version on one kind of request, with its uncertainty. Operators' expectation counts as a few
 * ratings.
 *
 * @param mean estimated mean rating
 * @param standardError its standard error
 * @param shortShare estimated share of answers under the target
 * @param shortMean estimated mean rating of those
 */
record QualityEstimate(double mean, double standardError, double shortShare, double shortMean) {
    private static final double PRIOR_RATINGS = 4;
    private static final double PRIOR_VARIANCE = 0.06;
    private static final double CONFIDENCE_Z = 1.3;

    static QualityEstimate of(CascadeStep step, double target) {
        QualityEvidence evidence = step.evidence();
        double weight = evidence.ratings() + PRIOR_RATINGS;
        double mean = (evidence.sum() + PRIOR_RATINGS * step.expectedQuality()) / weight;
        double priorSquares = PRIOR_VARIANCE + step.expectedQuality() * step.expectedQuality();
        double squares = (evidence.squareSum() + PRIOR_RATINGS * priorSquares) / weight;
        double variance = Math.max(squares - mean * mean, PRIOR_VARIANCE / weight);
        double priorShorts = PRIOR_RATINGS * (1 - step.expectedQuality());
        double shorts = evidence.shorts() + priorShorts;
        double shortMean = (evidence.shortSum() + priorShorts * target / 2) / Math.max(shorts, 1e-9);
        return new QualityEstimate(mean, Math.sqrt(variance / weight), shorts / weight, shortMean);
    }

    double lowerBound() {
        return mean - CONFIDENCE_Z * standardError;
    }

    double upperBound() {
        return mean + CONFIDENCE_Z * standardError;
    }
}
