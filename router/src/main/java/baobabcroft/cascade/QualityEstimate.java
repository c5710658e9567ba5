package baobabcroft.cascade;

/**
 * Estimated mean quality of a version for one kind of request. The quality that operators expect is the prior and
 * weighs as much as a few ratings.
 *
 * @param mean estimated mean rating
 * @param standardError standard error of the mean
 */
record QualityEstimate(double mean, double standardError) {
    private static final double PRIOR_RATINGS = 4;
    private static final double PRIOR_VARIANCE = 0.03;
    private static final double LOWER_Z = 0.25;
    private static final double UPPER_Z = 2;

    static QualityEstimate of(CascadeStep step) {
        QualityEvidence evidence = step.evidence();
        double weight = evidence.ratings() + PRIOR_RATINGS;
        double mean = (evidence.sum() + PRIOR_RATINGS * step.expectedQuality()) / weight;
        double priorSquares = PRIOR_VARIANCE + step.expectedQuality() * step.expectedQuality();
        double squares = (evidence.squareSum() + PRIOR_RATINGS * priorSquares) / weight;
        double variance = Math.max(squares - mean * mean, PRIOR_VARIANCE / weight);
        return new QualityEstimate(mean, Math.sqrt(variance / weight));
    }

    double lowerBound() {
        return mean - LOWER_Z * standardError;
    }

    double upperBound() {
        return mean + UPPER_Z * standardError;
    }
}
