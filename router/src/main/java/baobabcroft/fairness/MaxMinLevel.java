package baobabcroft.fairness;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Comparator;
import java.util.List;

/** Computes weighted max-min fair shares. */
final class MaxMinLevel {
    private MaxMinLevel() {}

    /**
     * What one account uses.
     *
     * @param amount the used amount
     * @param weight weight of the account; positive
     */
    record Use(double amount, double weight) {
        Use {
            checkArgument(weight > 0, "weight not positive: %s", weight);
        }

        private double perWeight() {
            return amount / weight;
        }
    }

    /**
     * Returns the share of an account of weight 1, so that accounts that use less leave the rest to the others.
     *
     * @param capacity what all accounts may use together
     * @param uses what they use
     * @return the share; infinite if the capacity suffices for all uses
     */
    static double of(double capacity, List<Use> uses) {
        double left = capacity;
        double weightLeft = uses.stream().mapToDouble(Use::weight).sum();
        for (Use use :
                uses.stream().sorted(Comparator.comparingDouble(Use::perWeight)).toList()) {
            double level = left / weightLeft;
            if (use.perWeight() > level) {
                return Math.max(0, level);
            }
            left -= use.amount();
            weightLeft -= use.weight();
        }
        return Double.POSITIVE_INFINITY;
    }
}
