package baobabcroft.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.admin.ExplainQuery;
import baobabcroft.admin.Explanation;
import baobabcroft.admin.Explanation.Step;
import baobabcroft.balance.Candidate;
import baobabcroft.balance.EndpointCriteria;
import baobabcroft.balance.EndpointHealth;
import baobabcroft.balance.EndpointPool;
import baobabcroft.balance.EndpointStatus;
import baobabcroft.common.ErrorCode;
import baobabcroft.common.RouterException;
import baobabcroft.rules.AccountRule;
import baobabcroft.rules.EndpointRule;
import baobabcroft.rules.OperationRule;
import baobabcroft.rules.RuleSet;
import baobabcroft.rules.VersionId;
import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Explains how a request would be routed and why, without sending it. Thread-safe. */
public final class RoutingExplainer {
    private static final String SAMPLE_ASSIGNMENT_KEY = "explain";

    private final ModelResolver modelResolver;
    private final EndpointPool pool;
    private final long defaultDeadlineMillis;

    private RoutingExplainer(VersionChooser versionChooser, EndpointPool pool, long defaultDeadlineMillis) {
        this.modelResolver = new ModelResolver(versionChooser);
        this.pool = checkNotNull(pool);
        this.defaultDeadlineMillis = defaultDeadlineMillis;
    }

    /**
     * Returns an explainer that makes the same decisions as the gateway with the same dependencies.
     *
     * @param dependencies the dependencies of the gateway
     * @return the explainer
     */
    public static RoutingExplainer create(GatewayDependencies dependencies) {
        return new RoutingExplainer(
                dependencies.versionChooser(),
                dependencies.pool(),
                dependencies.requestLimits().defaultDeadlineMillis());
    }

    /**
     * Explains the routing of a request under the given rules.
     *
     * @param query the request to explain
     * @param snapshot the rules
     * @return the decision with the steps that led to it
     */
    public Explanation explain(ExplainQuery query, RulesSnapshot snapshot) {
        List<Step> steps = new ArrayList<>();
        steps.add(new Step("config", "number " + snapshot.number()));
        try {
            return explainTarget(query, snapshot.rules(), steps);
        } catch (RouterException refusal) {
            steps.add(new Step("refusal", refusal.getMessage()));
            return new Explanation(Optional.of(refusal.code()), Optional.empty(), Optional.empty(), steps);
        }
    }

    private Explanation explainTarget(ExplainQuery query, RuleSet rules, List<Step> steps) {
        AccountRule account = rules.account(query.account())
                .orElseThrow(() -> RouterException.notRun(
                        ErrorCode.UNKNOWN_ACCOUNT, "no account is named '" + query.account() + "'"));
        steps.add(new Step("account", account.name() + " may use " + account.allowed()));
        if (query.target().indexOf('/') >= 0) {
            return explainOperation(query, account, rules, steps);
        }
        return explainModel(query, account, rules, steps);
    }

    private Explanation explainOperation(ExplainQuery query, AccountRule account, RuleSet rules, List<Step> steps) {
        OperationRule operation = Optional.ofNullable(rules.operations().get(query.target()))
                .orElseThrow(() -> RouterException.notRun(
                        ErrorCode.UNKNOWN_OPERATION, "no operation is named '" + query.target() + "'"));
        if (!account.allows(operation)) {
            throw RouterException.notRun(ErrorCode.NOT_ALLOWED, "the account may not use " + operation.fullName());
        }
        steps.add(new Step(
                "access",
                operation.fullName() + (operation.idempotent() ? " is idempotent" : " is claimed before it is sent")));
        return explainEndpoints(Optional.empty(), rules.endpointsFor(operation.service()), steps);
    }

    private Explanation explainModel(ExplainQuery query, AccountRule account, RuleSet rules, List<Step> steps) {
        ImmutableList<String> models = modelResolver.resolveModels(query.target(), account, rules);
        steps.add(new Step("access", query.target() + " resolves to " + models));
        Optional<VersionId> explicit = VersionId.parse(query.target());
        VersionId version = explicit.isPresent()
                ? modelResolver.explicitVersion(explicit.get(), account, rules).id()
                : modelResolver.chooseVersion(
                        models.get(0), query.session().orElse(SAMPLE_ASSIGNMENT_KEY), account, rules);
        query.session()
                .ifPresent(session -> steps.add(new Step(
                        "session",
                        "an existing session keeps its version; the choice below applies to a new session")));
        rules.versionsOf(version.model())
                .forEach(rule -> steps.add(new Step(
                        "version",
                        rule.id() + " is " + rule.state() + " with share " + rule.sharePercent() + " %"
                                + (rule.id().equals(version) ? ", chosen" : ""))));
        return explainEndpoints(Optional.of(version.toString()), rules.endpointsFor(version), steps);
    }

    private Explanation explainEndpoints(
            Optional<String> version, ImmutableList<EndpointRule> endpoints, List<Step> steps) {
        EndpointCriteria criteria = EndpointCriteria.of(OptionalLong.empty(), defaultDeadlineMillis);
        ImmutableList<Candidate> candidates = pool.candidates(endpoints, criteria);
        Map<String, EndpointStatus> statuses =
                pool.statuses().stream().collect(Collectors.toMap(EndpointStatus::name, Function.identity()));
        for (EndpointRule endpoint : endpoints) {
            steps.add(new Step("endpoint", describeEndpoint(endpoint, candidates, statuses.get(endpoint.name()))));
        }
        Optional<Candidate> likely = candidates.stream()
                .min(Comparator.comparing(Candidate::locality).thenComparingDouble(Candidate::relativeLoad));
        Optional<ErrorCode> refusal = likely.isPresent() ? Optional.empty() : Optional.of(ErrorCode.POOL_EXHAUSTED);
        return new Explanation(
                refusal, version, likely.map(candidate -> candidate.rule().name()), steps);
    }

    private static String describeEndpoint(
            EndpointRule endpoint, ImmutableList<Candidate> candidates, EndpointStatus status) {
        Optional<Candidate> candidate = candidates.stream()
                .filter(found -> found.rule().name().equals(endpoint.name()))
                .findFirst();
        if (candidate.isPresent()) {
            return endpoint.name() + ": " + candidate.get().locality() + ", "
                    + candidate.get().inFlight() + " of " + candidate.get().capacity() + " in use";
        }
        if (status != null && status.health() == EndpointHealth.READY) {
            return endpoint.name() + ": at capacity, " + status.inFlight() + " in use";
        }
        return endpoint.name() + ": "
                + (status == null ? "state unknown" : status.health().toString());
    }
}
