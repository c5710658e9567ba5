package baobabcroft.config;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.config.Confirmations.Progress;
import baobabcroft.external.ReadResult;
import baobabcroft.rules.ParsedRules;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Writes configuration changes for operators and waits until they are accepted. Thread-safe. */
public final class ConfigService {
    private static final long CHECK_INTERVAL_MILLIS = 100;

    private final ConfigNode node;
    private final ConfigContext context;
    private final ConfigWriter writer;

    private ConfigService(ConfigNode node) {
        this.node = node;
        this.context = node.context();
        this.writer = new ConfigWriter(context.store(), context.wallClock(), () -> appliedNumber(node));
    }

    /**
     * Returns a service that uses the given node.
     *
     * @param node configuration node of this instance
     * @return the service
     */
    public static ConfigService create(ConfigNode node) {
        return new ConfigService(checkNotNull(node));
    }

    /**
     * Writes a change, sends it to the other instances and waits until it is accepted. Proposing the same change again
     * does not write it twice, and returns its current result.
     *
     * @param change the change; its identifier must be unique
     * @param waitMillis maximum wait for acceptance after the write, in milliseconds
     * @return the result of the change
     */
    public CompletionStage<ProposalResult> propose(ProposedChange change, long waitMillis) {
        if (context.parser().apply(change.rulesText()) instanceof ParsedRules.Faulty faulty) {
            return CompletableFuture.completedFuture(new ProposalResult.Invalid(faulty.faults()));
        }
        return writer.write(change).thenCompose(outcome -> {
            if (outcome instanceof ConfigWriter.Outcome.NotWritten notWritten) {
                return awaitIfReceived(change, notWritten.result(), waitMillis);
            }
            return distribute(((ConfigWriter.Outcome.Written) outcome).document(), waitMillis);
        });
    }

    /**
     * Proposes a new change with the rules text of an earlier document.
     *
     * @param baseNumber number of the document that the operator expects to be current
     * @param toNumber number of the earlier document
     * @param changeId unique identifier of the new change
     * @param author name of the operator
     * @param waitMillis maximum wait for acceptance, in milliseconds
     * @return the result of the change
     */
    public CompletionStage<ProposalResult> rollBack(
            long baseNumber, long toNumber, String changeId, String author, long waitMillis) {
        return readDocument(toNumber).thenCompose(found -> {
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
     * @param number document number of the change
     * @param waitMillis maximum wait, in milliseconds
     * @return {@link ProposalResult.Accepted}, or {@link ProposalResult.Written} if the wait ended first
     */
    public CompletionStage<ProposalResult> awaitAccepted(long number, long waitMillis) {
        CompletableFuture<ProposalResult> result = new CompletableFuture<>();
        long endNanos = context.ticker().read() + Duration.ofMillis(waitMillis).toNanos();
        checkAccepted(number, endNanos, result);
        return result;
    }

    private CompletionStage<ProposalResult> distribute(ConfigDocument document, long waitMillis) {
        return node.offer(document).thenCompose(done -> awaitAccepted(document.number(), waitMillis));
    }

    /** Handles a write whose reply was lost: the change may have been stored, and received here from a peer. */
    private CompletionStage<ProposalResult> awaitIfReceived(
            ProposedChange change, ProposalResult notWritten, long waitMillis) {
        if (!(notWritten instanceof ProposalResult.Unavailable)) {
            return result(notWritten);
        }
        return node.recentChange(change.changeId())
                .thenCompose(found ->
                        found.isPresent() ? awaitAccepted(found.get().number(), waitMillis) : result(notWritten));
    }

    private void checkAccepted(long number, long endNanos, CompletableFuture<ProposalResult> result) {
        node.progress(number).thenAccept(progress -> {
            if (progress.accepted()) {
                result.complete(new ProposalResult.Accepted(number, progress.confirmed(), progress.missing()));
                return;
            }
            if (context.ticker().read() >= endNanos) {
                result.complete(written(number, progress));
                return;
            }
            context.scheduler().schedule(CHECK_INTERVAL_MILLIS, () -> checkAccepted(number, endNanos, result));
        });
    }

    private static long appliedNumber(ConfigNode node) {
        return node.current().map(AppliedConfig::number).orElse(0L);
    }

    private static ProposalResult written(long number, Progress progress) {
        return new ProposalResult.Written(number, progress.missing());
    }

    private CompletionStage<ReadResult> readDocument(long number) {
        boolean isCurrent =
                node.current().filter(current -> current.number() == number).isPresent();
        return context.store().read(isCurrent ? ConfigKeys.CURRENT : ConfigKeys.history(number));
    }

    private static CompletionStage<ProposalResult> result(ProposalResult result) {
        return CompletableFuture.completedFuture(result);
    }
}
