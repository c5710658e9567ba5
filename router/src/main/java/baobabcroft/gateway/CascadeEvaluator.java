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

/** Chooses the models of cascade requests and requests ratings of responses. Thread-safe. */
public final class CascadeEvaluator {
    private static final double NON_CASCADE_RATING_SHARE = 0.05;

    private final CascadePolicy policy;
    private final QualityLedger ledger;
    private final RatingBudget ratingBudget;
    private final Optional<RatingService> ratingService;
    private final BiConsumer<VersionId, Double> ratingObserver;
    private final Supplier<UniformRandomProvider> random;
    private final RouterMetrics metrics;

    /**
     * Creates the cascade logic of one instance.
     *
     * @param policy chooses the starting step and when to escalate
     * @param ledger ratings from all instances
     * @param ratingBudget limits the ratings that this instance may request
     * @param ratingService the rating service; empty if the platform has none
     * @param ratingObserver receives each rating with its version, as roll-out evidence
     * @param random supplies the calling thread's random generator
     * @param metrics counts ratings
     */
    public CascadeEvaluator(
            CascadePolicy policy,
            QualityLedger ledger,
            RatingBudget ratingBudget,
            Optional<RatingService> ratingService,
            BiConsumer<VersionId, Double> ratingObserver,
            Supplier<UniformRandomProvider> random,
            RouterMetrics metrics) {
        this.policy = checkNotNull(policy);
        this.ledger = checkNotNull(ledger);
        this.ratingBudget = checkNotNull(ratingBudget);
        this.ratingService = checkNotNull(ratingService);
        this.ratingObserver = checkNotNull(ratingObserver);
        this.random = checkNotNull(random);
        this.metrics = checkNotNull(metrics);
    }

    /**
     * Returns how a cascade handles a request of the given kind, given its versions from cheapest to most expensive.
     */
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

    /** Returns whether to rate a response that is not part of a cascade, as roll-out evidence on its version. */
    boolean shouldRateNonCascadeResponse(VersionId version, RuleSet rules) {
        double probability = rules.version(version)
                .map(rule ->
                        RatingAllocation.probability(rule, rules.versionsOf(version.model()), NON_CASCADE_RATING_SHARE))
                .orElse(0.0);
        return random.get().nextDouble() < probability;
    }

    /** Returns the rating of a response, or empty if the budget is exhausted or the rating service returned none. */
    CompletionStage<OptionalDouble> requestRating(
            ChatContext context, PendingChatResponse pending, RequestKind kind, double qualityTarget) {
        if (ratingService.isEmpty() || !ratingBudget.tryTake()) {
            return CompletableFuture.completedFuture(OptionalDouble.empty());
        }
        RatingRequest request = new RatingRequest(
                pending.version().toString(),
                kind.cascade(),
                context.body().digest(),
                pending.completion().text());
        return ratingService.get().rate(request).thenApply(result -> {
            metrics.count("rating." + result.getClass().getSimpleName().toLowerCase(Locale.ROOT));
            if (!(result instanceof RatingResult.Rated rated)) {
                return OptionalDouble.empty();
            }
            ledger.addRating(pending.version(), kind, rated.score(), qualityTarget);
            ratingObserver.accept(pending.version(), rated.score());
            return OptionalDouble.of(rated.score());
        });
    }
}
