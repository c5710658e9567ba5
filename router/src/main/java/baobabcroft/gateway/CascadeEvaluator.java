package baobabcroft.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.cascade.CascadeChoice;
import baobabcroft.cascade.CascadePolicy;
import baobabcroft.cascade.CascadeStep;
import baobabcroft.cascade.QualityLedger;
import baobabcroft.cascade.RatingBudget;
import baobabcroft.cascade.RequestKind;
import baobabcroft.external.RatingRequest;
import baobabcroft.external.RatingResult;
import baobabcroft.external.RatingService;
import baobabcroft.metrics.RouterMetrics;
import baobabcroft.rollout.RatingAllocation;
import baobabcroft.rules.RuleSet;
import baobabcroft.rules.VersionId;
import baobabcroft.rules.VersionRule;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;

/** Decides how cascades answer, and has answers rated. Thread-safe. */
public final class CascadeEvaluator {
    private static final double PLAIN_RATING_SHARE = 0.05;

    private final CascadePolicy policy;
    private final QualityLedger ledger;
    private final RatingBudget budget;
    private final Optional<RatingService> ratings;
    private final BiConsumer<VersionId, Double> observeRating;
    private final Supplier<UniformRandomProvider> random;
    private final RouterMetrics metrics;

    /**
     * Returns the decisions of one instance.
     *
     * @param policy chooses steps
     * @param ledger ratings of all instances
     * @param budget ratings that this instance may ask for
     * @param ratings rates answers, if the platform does
     * @param observeRating told of each rating as evidence for or against its version
     * @param random source of randomness of the calling thread
     * @param metrics counts ratings
     */
    public CascadeEvaluator(
            CascadePolicy policy,
            QualityLedger ledger,
            RatingBudget budget,
            Optional<RatingService> ratings,
            BiConsumer<VersionId, Double> observeRating,
            Supplier<UniformRandomProvider> random,
            RouterMetrics metrics) {
        this.policy = checkNotNull(policy);
        this.ledger = checkNotNull(ledger);
        this.budget = checkNotNull(budget);
        this.ratings = checkNotNull(ratings);
        this.observeRating = checkNotNull(observeRating);
        this.random = checkNotNull(random);
        this.metrics = checkNotNull(metrics);
    }

    /** Returns how a cascade answers a request of a kind by the given versions, cheapest first. */
    CascadeChoice choose(List<VersionId> versions, RequestKind kind, double qualityTarget, RuleSet rules) {
        List<CascadeStep> steps =
                versions.stream().map(version -> step(version, kind, rules)).toList();
        return policy.choose(kind, steps, qualityTarget, random.get());
    }

    private CascadeStep step(VersionId version, RequestKind kind, RuleSet rules) {
        VersionRule rule = rules.version(version).orElseThrow();
        return new CascadeStep(
                version, rule.priceMicrosPerThousandTokens(), rule.expectedQuality(), ledger.total(version, kind));
    }

    /** Returns whether an answer outside of cascades should be rated, as evidence on its version. */
    boolean samplePlainAnswer(VersionId version, RuleSet rules) {
        double probability = rules.version(version)
                .map(rule -> RatingAllocation.probability(rule, rules.versionsOf(version.model()), PLAIN_RATING_SHARE))
                .orElse(0.0);
        return random.get().nextDouble() < probability;
    }

    /** Returns the rating of an answer, or empty if the budget is used up or the service gives none. */
    CompletionStage<OptionalDouble> rate(ChatRun run, ChatDraft draft, RequestKind kind, double qualityTarget) {
        if (ratings.isEmpty() || !budget.tryTake()) {
            return CompletableFuture.completedFuture(OptionalDouble.empty());
        }
        RatingRequest request = new RatingRequest(
                draft.version().toString(),
                kind.cascade(),
                run.body().digest(),
                draft.answer().text());
        return ratings.get().rate(request).thenApply(result -> {
            metrics.count("rating." + result.getClass().getSimpleName().toLowerCase(Locale.ROOT));
            if (!(result instanceof RatingResult.Rated rated)) {
                return OptionalDouble.empty();
            }
            ledger.addRating(draft.version(), kind, rated.score(), qualityTarget);
            observeRating.accept(draft.version(), rated.score());
            return OptionalDouble.of(rated.score());
        });
    }
}
