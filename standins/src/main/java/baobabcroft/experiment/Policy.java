package baobabcroft.experiment;

import baobabcroft.balance.EndpointPicker;
import baobabcroft.balance.EndpointPickers;
import baobabcroft.cascade.CascadePolicies;
import baobabcroft.cascade.CascadePolicy;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Set of decision algorithms and protections that a run uses.
 *
 * @param name name of the policy in results
 * @param picker creates the endpoint picker of each instance; empty for the oracle, which sees the true load of each
 *     engine
 * @param cascade creates the cascade policy of each instance, which chooses the first model
 * @param retryBudget whether the retry budget limits retries
 * @param automaticStop whether degraded versions are stopped automatically
 * @param crashLedger whether requests that crashed endpoints are recorded and then refused
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
