package baobabcroft.rollout;

import org.apache.commons.math3.special.Beta;

/**
 * E-values of a rate, from the number of trials and the sum of their losses. A trial's loss is between zero and one.
 *
 * <p>Under the null hypothesis an e-value has an expectation of at most one at any stopping time. So the probability
 * that it ever exceeds a threshold {@code t}, over all checks together, is at most {@code 1 / t}. Each e-value is a
 * mixture of likelihood ratios over a Beta(1/2, 1/2) prior; for losses between zero and one, the Bernoulli likelihood
 * ratio bounds the exponential moment by convexity.
 *
 * @param trials number of trials
 * @param losses sum of the losses
 */
record RateEvidence(double trials, double losses) {
    private static final double PRIOR = 0.5;

    double rate() {
        return trials == 0 ? 0 : losses / trials;
    }

    /** Returns the natural logarithm of an e-value against the hypothesis that the rate is at most {@code level}. */
    double logEvalueAbove(double level) {
        if (trials == 0 || rate() <= level) {
            return 0;
        }
        double complement = trials - losses;
        double posteriorTail = 1 - Beta.regularizedBeta(level, losses + PRIOR, complement + PRIOR);
        double priorTail = 1 - Beta.regularizedBeta(level, PRIOR, PRIOR);
        double logNull = losses * Math.log(level) + complement * Math.log1p(-level);
        return logMarginal() + Math.log(posteriorTail) - Math.log(priorTail) - logNull;
    }

    /** Returns the natural logarithm of the Bayes factor for separate rates against one rate shared with the others. */
    double logBayesFactorAgainst(RateEvidence others) {
        if (rate() <= others.rate()) {
            return 0;
        }
        RateEvidence pooled = new RateEvidence(trials + others.trials, losses + others.losses);
        return logMarginal() + others.logMarginal() - pooled.logMarginal();
    }

    private double logMarginal() {
        return Beta.logBeta(losses + PRIOR, trials - losses + PRIOR) - Beta.logBeta(PRIOR, PRIOR);
    }
}
