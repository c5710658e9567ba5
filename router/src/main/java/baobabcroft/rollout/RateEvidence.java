package baobabcroft.rollout;

import org.apache.commons.math3.special.Beta;

/**
 * E-values of a rate, from counts of trials and of their total badness, each trial's badness lying from zero to one.
 *
 * <p>An e-value has a mean of at most one while the null hypothesis holds, whenever one looks; so it exceeds a
 * threshold {@code t} with a probability of at most {@code 1 / t}, over all looks together. Each is a mixture of
 * likelihood ratios over a Beta(1/2, 1/2) prior; for badness between zero and one the Bernoulli likelihood ratio bounds
 * the exponential moment by convexity.
 *
 * @param trials the count of trials
 * @param bad their total badness
 */
record RateEvidence(double trials, double bad) {
    private static final double PRIOR = 0.5;

    double rate() {
        return trials == 0 ? 0 : bad / trials;
    }

    /** Returns the logarithm of an e-value against the rate being at most a level. */
    double logEvalueAbove(double level) {
        if (trials == 0 || rate() <= level) {
            return 0;
        }
        double good = trials - bad;
        double posteriorTail = 1 - Beta.regularizedBeta(level, bad + PRIOR, good + PRIOR);
        double priorTail = 1 - Beta.regularizedBeta(level, PRIOR, PRIOR);
        double logNull = bad * Math.log(level) + good * Math.log1p(-level);
        return logMarginal() + Math.log(posteriorTail) - Math.log(priorTail) - logNull;
    }

    /** Returns the logarithm of the Bayes factor for a rate of its own, against one rate shared with the others. */
    double logBayesFactorAgainst(RateEvidence others) {
        if (rate() <= others.rate()) {
            return 0;
        }
        RateEvidence pooled = new RateEvidence(trials + others.trials, bad + others.bad);
        return logMarginal() + others.logMarginal() - pooled.logMarginal();
    }

    private double logMarginal() {
        return Beta.logBeta(bad + PRIOR, trials - bad + PRIOR) - Beta.logBeta(PRIOR, PRIOR);
    }
}
