package baobabcroft.experiment;

import baobabcroft.balance.EndpointPicker;
import baobabcroft.balance.EndpointPickers;
import baobabcroft.cascade.CascadePolicies;
import baobabcroft.cascade.CascadePolicy;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * The decisions that one run uses.
 *
 * @param name the policy's name
 * @param picker makes each instance's picker; empty for the oracle, which knows each queue
 * @param cascade makes each instance's choice of the first model
 * @param retryBudget whether retries are bounded by the budget
 * @param automaticStop whether bad versions are stopped
 * @param crashLedger whether poison requests are remembered
 */
record Policy(
        String name,
        Optional<Supplier<EndpointPicker>> picker,
        Supplier<CascadePolicy> cascade,
        boolean retryBudget,
        boolean automaticStop,
        boolean crashLedger) {
    static final double FIXED_THRESHOLD = 0.75;

    static Policy product() {
        return new Policy(
                "product", Optional.of(EndpointPickers::tiered), CascadePolicies::qualityPrice, true, true, true);
    }

    static List<Policy> of(Scenario.Family family) {
        return switch (family) {
            case COST ->
                List.of(
                        product(),
                        withCascade("always-dearest", CascadePolicies.mostExpensive()),
                        withCascade("fixed-small", CascadePolicies.fixed(0)),
                        withCascade("fixed-medium", CascadePolicies.fixed(1)),
                        withCascade("fixed-threshold", CascadePolicies.fixedThreshold(FIXED_THRESHOLD)));
            case LOAD ->
                List.of(
                        product(),
                        withPicker("random", Optional.of(EndpointPickers::random)),
                        withPicker("round-robin", Optional.of(EndpointPickers::roundRobin)),
                        withPicker("least-reported", Optional.of(EndpointPickers::leastReported)),
                        withoutRetryBudget(),
                        withPicker("oracle", Optional.empty()));
            case ROLLOUT -> List.of(product(), withoutStop());
            case POISON -> List.of(product(), withoutLedger(), withoutRetryBudget());
        };
    }

    private static Policy withCascade(String name, CascadePolicy cascade) {
        return new Policy(name, product().picker(), () -> cascade, true, true, true);
    }

    private static Policy withPicker(String name, Optional<Supplier<EndpointPicker>> picker) {
        return new Policy(name, picker, product().cascade(), true, true, true);
    }

    private static Policy withoutRetryBudget() {
        return new Policy("no-retry-budget", product().picker(), product().cascade(), false, true, true);
    }

    private static Policy withoutStop() {
        return new Policy("no-automatic-stop", product().picker(), product().cascade(), true, false, true);
    }

    private static Policy withoutLedger() {
        return new Policy("no-crash-ledger", product().picker(), product().cascade(), true, true, false);
    }
}
