package baobabcroft.admin;

import baobabcroft.common.ErrorCode;
import baobabcroft.common.Execution;
import baobabcroft.common.RouterException;
import baobabcroft.rules.ParsedRules;
import baobabcroft.rules.RulesDiff;
import baobabcroft.rules.RulesParser;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Lists;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;

/** Fake admin operations that keep configurations in memory. Tests set which instances confirm and store failures. */
public final class FakeAdminOperations implements AdminOperations {
    private final List<ConfigDocument> documents = new CopyOnWriteArrayList<>();
    private volatile ImmutableList<String> missing = ImmutableList.of();
    private volatile boolean storeUnavailable;

    /** Sets the instances that do not confirm changes from now on; with none, changes are accepted. */
    public void setMissing(String... instances) {
        missing = ImmutableList.copyOf(instances);
    }

    /** Sets whether the store is unavailable. */
    public void setStoreUnavailable(boolean unavailable) {
        storeUnavailable = unavailable;
    }

    @Override
    public CompletionStage<ApplyOutcome> apply(String rulesText, String author, long baseNumber, String comment) {
        return completed(applyNow(rulesText, author, baseNumber, comment));
    }

    private ApplyOutcome applyNow(String rulesText, String author, long baseNumber, String comment) {
        if (storeUnavailable) {
            return new ApplyOutcome.Unavailable(Execution.MAY_HAVE_RUN, "no answer");
        }
        if (RulesParser.parse(rulesText) instanceof ParsedRules.Faulty faulty) {
            return new ApplyOutcome.Invalid(faulty.faults());
        }
        if (baseNumber != documents.size()) {
            return new ApplyOutcome.Conflict(documents.size(), RulesDiff.between(text(baseNumber), text()));
        }
        long number = documents.size() + 1L;
        documents.add(new ConfigDocument(number, "c" + number, author, 1000 * number, comment, rulesText));
        return missing.isEmpty()
                ? new ApplyOutcome.Accepted(number, ImmutableList.of("i-1", "i-2"))
                : new ApplyOutcome.Written(number, missing);
    }

    private String text() {
        return text(documents.size());
    }

    private String text(long number) {
        return number == 0 ? "" : documents.get((int) number - 1).text();
    }

    @Override
    public CompletionStage<Optional<ConfigDocument>> current() {
        if (storeUnavailable) {
            return CompletableFuture.failedFuture(
                    RouterException.notRun(ErrorCode.STORE_UNAVAILABLE, "no answer", 1500));
        }
        return historyEntry(documents.size());
    }

    @Override
    public CompletionStage<List<ConfigSummary>> history() {
        return completed(
                Lists.reverse(documents).stream().map(ConfigDocument::summary).toList());
    }

    @Override
    public CompletionStage<Optional<ConfigDocument>> historyEntry(long number) {
        return completed(documents.stream()
                .filter(document -> document.number() == number)
                .findFirst());
    }

    @Override
    public CompletionStage<ApplyOutcome> rollback(long number, String author, long baseNumber) {
        if (number < 1 || number > documents.size()) {
            return CompletableFuture.failedFuture(
                    RouterException.notRun(ErrorCode.NOT_FOUND, "there is no configuration number " + number));
        }
        return completed(applyNow(text(number), author, baseNumber, "rollback to " + number));
    }

    @Override
    public CompletionStage<Explanation> explain(ExplainQuery query) {
        if (query.account().equals("nobody")) {
            return completed(new Explanation(
                    Optional.of(ErrorCode.UNKNOWN_ACCOUNT), Optional.empty(), Optional.empty(), ImmutableList.of()));
        }
        return completed(new Explanation(
                Optional.empty(),
                Optional.of(query.target() + "@1"),
                Optional.of("engine-1"),
                ImmutableList.of(new Explanation.Step("session", query.session().orElse("none")))));
    }

    @Override
    public CompletionStage<StatusReport> status() {
        return completed(new StatusReport(
                "i-1",
                "zagreb-a",
                StatusReport.State.SERVING,
                3,
                new StatusReport.Config(documents.size(), missing.isEmpty(), missing),
                new StatusReport.Authority(true, 120),
                new StatusReport.Store(!storeUnavailable, 0),
                ImmutableList.of(new StatusReport.Peer("i-2", true, documents.size())),
                ImmutableList.of(new StatusReport.EndpointView("engine-1", "live", 2)),
                ImmutableList.of(new StatusReport.VersionView("film-small@2", "stopped", "errors"))));
    }

    @Override
    public CompletionStage<List<BillView>> bills() {
        return CompletableFuture.completedFuture(
                List.of(new BillView("shop", "key:1", "film-small@1", 7, 14, "answered", 0)));
    }

    @Override
    public CompletionStage<List<OpenClaimView>> openClaims() {
        return CompletableFuture.completedFuture(List.of());
    }

    @Override
    public CompletionStage<DrainReport> drain() {
        return completed(new DrainReport(3, 5000));
    }

    private static <T> CompletionStage<T> completed(T value) {
        return CompletableFuture.completedFuture(value);
    }
}
