package baobabcroft.config;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.config.Confirmations.Progress;
import baobabcroft.external.ReadResult;
import baobabcroft.rules.ParsedRules;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Changes the configuration on behalf of an operator, and tells when a change is in force. Thread-safe. */
public final class ConfigService {
    private static final long CHECK_MILLIS = 100;

    private final ConfigNode node;
    private final ConfigContext context;
    private final ConfigWriter writer;

    private ConfigService(ConfigNode node) {
        this.node = node;
        this.context = node.context();
        this.writer = new ConfigWriter(context.store(), context.wallClock(), () -> appliedNumber(node));
    }

    /**
     * Returns a service that works through a node.
     *
     * @param node the instance's node
     * @return the service
     */
    public static ConfigService create(ConfigNode node) {
        return new ConfigService(checkNotNull(node));
    }

    /**
     * Writes a change, spreads it and waits until it is accepted. Proposing a change again tells what became of it.
     *
     * @param change the change
     * @param waitMillis how long to wait for acceptance once it is written, in milliseconds
     * @return what became of it
     */
    public CompletionStage<ProposalResult> propose(ProposedChange change, long waitMillis) {
        if (context.parser().apply(change.rulesText()) instanceof ParsedRules.Faulty faulty) {
            return CompletableFuture.completedFuture(new ProposalResult.Invalid(faulty.faults()));
        }
        return writer.write(change).thenCompose(outcome -> {
            if (outcome instanceof ConfigWriter.Outcome.NotWritten notWritten) {
                return lookAtPeers(change, notWritten.result(), waitMillis);
            }
            return spread(((ConfigWriter.Outcome.Written) outcome).document(), waitMillis);
        });
    }

    /**
     * Makes a new change with the text of an earlier document.
     *
     * @param baseNumber the number in force, as the operator saw it
     * @param toNumber the earlier document's number
     * @param changeId the change's own identifier
     * @param author who wants it
     * @param waitMillis how long to wait for acceptance, in milliseconds
     * @return what became of it
     */
    public CompletionStage<ProposalResult> rollBack(
            long baseNumber, long toNumber, String changeId, String author, long waitMillis) {
        return history(toNumber).thenCompose(found -> {
            if (!(found instanceof ReadResult.Found entries)) {
                return result(new ProposalResult.Unavailable("the store did not answer", false));
            }
            Optional<ConfigDocument> earlier =
                    entries.entries().stream().findFirst().flatMap(entry -> ConfigDocument.fromBytes(entry.value()));
            if (earlier.isEmpty()) {
                return result(new ProposalResult.UnknownNumber(toNumber));
            }
            String comment = "back to " + toNumber;
            String text = earlier.get().rulesText();
            return propose(new ProposedChange(baseNumber, changeId, author, comment, text), waitMillis);
        });
    }

    /**
     * Waits until a written change is accepted.
     *
     * @param number the change's number
     * @param waitMillis how long to wait, in milliseconds
     * @return {@link ProposalResult.Accepted}, or {@link ProposalResult.Written} when the wait ended before
     */
    public CompletionStage<ProposalResult> awaitAccepted(long number, long waitMillis) {
        CompletableFuture<ProposalResult> result = new CompletableFuture<>();
        long endNanos = context.ticker().read() + Duration.ofMillis(waitMillis).toNanos();
        check(number, endNanos, result);
        return result;
    }

    private CompletionStage<ProposalResult> spread(ConfigDocument document, long waitMillis) {
        return node.offer(document).thenCompose(done -> awaitAccepted(document.number(), waitMillis));
    }

    /** A change whose reply was lost, with the store out since, may have reached other instances. */
    private CompletionStage<ProposalResult> lookAtPeers(
            ProposedChange change, ProposalResult notWritten, long waitMillis) {
        if (!(notWritten instanceof ProposalResult.Unavailable)) {
            return result(notWritten);
        }
        return node.recentChange(change.changeId())
                .thenCompose(found ->
                        found.isPresent() ? awaitAccepted(found.get().number(), waitMillis) : result(notWritten));
    }

    private void check(long number, long endNanos, CompletableFuture<ProposalResult> result) {
        node.progress(number).thenAccept(progress -> {
            if (progress.accepted()) {
                result.complete(new ProposalResult.Accepted(number, progress.confirmed(), progress.missing()));
                return;
            }
            if (context.ticker().read() >= endNanos) {
                result.complete(writtenOnly(number, progress));
                return;
            }
            context.scheduler().schedule(CHECK_MILLIS, () -> check(number, endNanos, result));
        });
    }

    private static long appliedNumber(ConfigNode node) {
        return node.current().map(AppliedConfig::number).orElse(0L);
    }

    private static ProposalResult writtenOnly(long number, Progress progress) {
        return new ProposalResult.Written(number, progress.missing());
    }

    private CompletionStage<ReadResult> history(long number) {
        boolean isCurrent =
                node.current().filter(current -> current.number() == number).isPresent();
        return context.store().read(isCurrent ? ConfigKeys.CURRENT : ConfigKeys.history(number));
    }

    private static CompletionStage<ProposalResult> result(ProposalResult result) {
        return CompletableFuture.completedFuture(result);
    }
}
