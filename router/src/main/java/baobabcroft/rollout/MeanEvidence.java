package baobabcroft.rollout;

/**
 * E-values of a mean, from sums of values between zero and one. Assumes enough values for the mean to be approximately
 * normal.
 *
 * <p>Each is a mixture of likelihood ratios over a normal prior of the shift. The variance is estimated from the values
 * and a prior that weighs as much as a few values.
 *
 * @param trials number of values
 * @param sum sum of the values
 * @param squareSum sum of the squares of the values
 */
record MeanEvidence(double trials, double sum, double squareSum) {
    private static final double PRIOR_TRIALS = 10;
    private static final double PRIOR_VARIANCE = 0.06;
    private static final double SHIFT_VARIANCE = 0.04;

    double mean() {
        return trials == 0 ? 0 : sum / trials;
    }

    private double squaredDeviations() {
        return Math.max(0, squareSum - trials * mean() * mean());
    }

    /** Returns the natural logarithm of an e-value against the hypothesis that the mean is at most {@code level}. */
    double logEvalueAbove(double level) {
        double variance = (squaredDeviations() + PRIOR_TRIALS * PRIOR_VARIANCE) / (trials + PRIOR_TRIALS);
        return logMixture(mean() - level, variance, trials);
    }

    /** Returns the natural logarithm of an e-value against the hypothesis that the mean is at most the others' mean. */
    double logEvalueAbove(MeanEvidence others) {
        if (trials == 0 || others.trials == 0) {
            return 0;
        }
        double totalWeight = trials + others.trials + PRIOR_TRIALS;
        double variance =
                (squaredDeviations() + others.squaredDeviations() + PRIOR_TRIALS * PRIOR_VARIANCE) / totalWeight;
        double effectiveTrials = 1 / (1 / trials + 1 / others.trials);
        return logMixture(mean() - others.mean(), variance, effectiveTrials);
    }

    private static double logMixture(double shift, double variance, double count) {
        if (shift <= 0 || count == 0) {
            return 0;
        }
        double ratio = count * SHIFT_VARIANCE / variance;
        double squaredScore = shift * shift * count / variance;
        return squaredScore / 2 * ratio / (1 + ratio) - Math.log1p(ratio) / 2;
    }
}
