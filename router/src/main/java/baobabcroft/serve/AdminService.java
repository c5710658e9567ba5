package baobabcroft.serve;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.admin.AdminOperations;
import baobabcroft.admin.ApplyOutcome;
import baobabcroft.admin.BillView;
import baobabcroft.admin.ConfigDocument;
import baobabcroft.admin.ConfigSummary;
import baobabcroft.admin.DrainReport;
import baobabcroft.admin.ExplainQuery;
import baobabcroft.admin.Explanation;
import baobabcroft.admin.OpenClaimView;
import baobabcroft.admin.StatusReport;
import baobabcroft.billing.Bill;
import baobabcroft.billing.BillReader;
import baobabcroft.claim.ClaimService;
import baobabcroft.common.ErrorCode;
import baobabcroft.common.Execution;
import baobabcroft.common.RouterException;
import baobabcroft.config.AppliedConfig;
import baobabcroft.config.ConfigKeys;
import baobabcroft.config.ConfigNode;
import baobabcroft.config.ConfigService;
import baobabcroft.config.ProposalResult;
import baobabcroft.config.ProposedChange;
import baobabcroft.external.KeyValueStore;
import baobabcroft.external.ReadResult;
import baobabcroft.external.Versioned;
import baobabcroft.gateway.RoutingExplainer;
import baobabcroft.gateway.RulesSnapshot;
import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import baobabcroft.rules.RulesDiff;
import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

/** Carries out what operators ask of an instance. Thread-safe. */
final class AdminService implements AdminOperations {
    private static final long ACCEPT_WAIT_MILLIS = 10_000;

    private final EventLog log = EventLog.of(AdminService.class);
    private final ConfigNode node;
    private final ConfigService configs;
    private final KeyValueStore store;
    private final ClaimService claims;
    private final RoutingExplainer explainer;
    private final Supplier<CompletionStage<StatusReport>> status;
    private final Supplier<DrainReport> drain;
    private final Supplier<String> changeIds;

    AdminService(
            ConfigNode node,
            KeyValueStore store,
            ClaimService claims,
            RoutingExplainer explainer,
            Supplier<CompletionStage<StatusReport>> status,
            Supplier<DrainReport> drain,
            Supplier<String> changeIds) {
        this.node = checkNotNull(node);
        this.configs = ConfigService.create(node);
        this.store = checkNotNull(store);
        this.claims = checkNotNull(claims);
        this.explainer = checkNotNull(explainer);
        this.status = checkNotNull(status);
        this.drain = checkNotNull(drain);
        this.changeIds = checkNotNull(changeIds);
    }

    @Override
    public CompletionStage<ApplyOutcome> apply(String rulesText, String author, long baseNumber, String comment) {
        ProposedChange change = new ProposedChange(baseNumber, changeIds.get(), author, comment, rulesText);
        return configs.propose(change, ACCEPT_WAIT_MILLIS).thenCompose(result -> outcome(result, author, baseNumber));
    }

    @Override
    public CompletionStage<ApplyOutcome> rollback(long number, String author, long baseNumber) {
        return configs.rollBack(baseNumber, number, changeIds.get(), author, ACCEPT_WAIT_MILLIS)
                .thenCompose(result -> outcome(result, author, baseNumber));
    }

    private CompletionStage<ApplyOutcome> outcome(ProposalResult result, String author, long baseNumber) {
        if (result instanceof ProposalResult.Accepted accepted) {
            log.log(LogEvent.CONFIG_ACCEPTED, accepted.number(), author, accepted.confirmedBy());
            return completed(new ApplyOutcome.Accepted(accepted.number(), sorted(accepted.confirmedBy())));
        }
        if (result instanceof ProposalResult.Written written) {
            log.log(LogEvent.CONFIG_UNCONFIRMED, written.number(), written.missing());
            return completed(new ApplyOutcome.Written(written.number(), sorted(written.missing())));
        }
        log.log(LogEvent.CONFIG_REJECTED, author, result.getClass().getSimpleName());
        if (result instanceof ProposalResult.Conflict conflict) {
            return textOf(baseNumber)
                    .thenApply(base -> new ApplyOutcome.Conflict(
                            conflict.current().number(),
                            RulesDiff.between(base, conflict.current().rulesText())));
        }
        if (result instanceof ProposalResult.Invalid invalid) {
            return completed(new ApplyOutcome.Invalid(invalid.faults()));
        }
        if (result instanceof ProposalResult.UnknownNumber unknown) {
            return CompletableFuture.failedFuture(
                    RouterException.notRun(ErrorCode.NOT_FOUND, "there is no configuration " + unknown.number()));
        }
        ProposalResult.Unavailable unavailable = (ProposalResult.Unavailable) result;
        Execution execution = unavailable.mayBeWritten() ? Execution.MAY_HAVE_RUN : Execution.NOT_RUN;
        return completed(new ApplyOutcome.Unavailable(execution, unavailable.reason()));
    }

    private static CompletionStage<ApplyOutcome> completed(ApplyOutcome outcome) {
        return CompletableFuture.completedFuture(outcome);
    }

    private static ImmutableList<String> sorted(Set<String> names) {
        return ImmutableList.sortedCopyOf(names);
    }

    private CompletionStage<String> textOf(long number) {
        if (number == 0) {
            return CompletableFuture.completedFuture("");
        }
        return historyEntry(number)
                .exceptionally(unavailable -> Optional.empty())
                .thenApply(found -> found.map(ConfigDocument::text).orElse(""));
    }

    @Override
    public CompletionStage<Optional<ConfigDocument>> current() {
        return CompletableFuture.completedFuture(node.current().map(applied -> document(applied.document())));
    }

    @Override
    public CompletionStage<List<ConfigSummary>> history() {
        return store.list(ConfigKeys.HISTORY_PREFIX).thenCombine(store.read(ConfigKeys.CURRENT), (past, current) -> {
            List<Versioned> entries = new ArrayList<>(entries(past));
            entries.addAll(entries(current));
            return entries.stream()
                    .flatMap(entry -> baobabcroft.config.ConfigDocument.fromBytes(entry.value()).stream())
                    .map(found -> document(found).summary())
                    .distinct()
                    .sorted(Comparator.comparingLong(ConfigSummary::number).reversed())
                    .toList();
        });
    }

    @Override
    public CompletionStage<Optional<ConfigDocument>> historyEntry(long number) {
        Optional<AppliedConfig> applied = node.current();
        if (applied.isPresent() && applied.get().number() == number) {
            return CompletableFuture.completedFuture(
                    Optional.of(document(applied.get().document())));
        }
        return store.read(ConfigKeys.history(number)).thenApply(result -> entries(result).stream()
                .flatMap(entry -> baobabcroft.config.ConfigDocument.fromBytes(entry.value()).stream())
                .map(AdminService::document)
                .findFirst());
    }

    private static List<Versioned> entries(ReadResult result) {
        if (result instanceof ReadResult.Found found) {
            return found.entries();
        }
        throw storeUnavailable();
    }

    private static ConfigDocument document(baobabcroft.config.ConfigDocument found) {
        return new ConfigDocument(
                found.number(),
                found.changeId(),
                found.author(),
                found.createdAtEpochMillis(),
                found.comment(),
                found.rulesText());
    }

    @Override
    public CompletionStage<Explanation> explain(ExplainQuery query) {
        AppliedConfig applied = node.current()
                .orElseThrow(() -> RouterException.notRun(ErrorCode.CONFIG_STALE, "no configuration is applied yet"));
        return CompletableFuture.completedFuture(
                explainer.explain(query, new RulesSnapshot(applied.number(), applied.rules())));
    }

    @Override
    public CompletionStage<List<BillView>> bills() {
        return BillReader.create(store, claims::bills)
                .read()
                .thenApply(found -> found.orElseThrow(AdminService::storeUnavailable).bills().stream()
                        .map(AdminService::view)
                        .toList());
    }

    private static BillView view(Bill bill) {
        return new BillView(
                bill.account(),
                bill.requestId(),
                bill.item(),
                bill.tokens(),
                bill.amountMicros(),
                bill.outcome().name().toLowerCase(Locale.ROOT),
                bill.atEpochMillis());
    }

    @Override
    public CompletionStage<List<OpenClaimView>> openClaims() {
        return claims.openClaims().thenApply(found -> found.orElseThrow(AdminService::storeUnavailable).stream()
                .map(claim -> new OpenClaimView(
                        claim.account(),
                        claim.idempotencyKey(),
                        claim.operation(),
                        claim.claimingInstance(),
                        claim.deadlineEpochMillis()))
                .toList());
    }

    private static RouterException storeUnavailable() {
        return RouterException.notRun(ErrorCode.STORE_UNAVAILABLE, "the platform's store did not answer");
    }

    @Override
    public CompletionStage<StatusReport> status() {
        return status.get();
    }

    @Override
    public CompletionStage<DrainReport> drain() {
        return CompletableFuture.completedFuture(drain.get());
    }
}
