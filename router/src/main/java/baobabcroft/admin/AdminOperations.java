package baobabcroft.admin;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/**
 * The administration operations of an instance.
 *
 * <p>Stages of failed operations complete with a {@link baobabcroft.common.RouterException}, except where the result
 * type represents the failure. Implementations are thread-safe.
 */
public interface AdminOperations {
    /**
     * Replaces the rules if the current configuration is still the one that the change is based on.
     *
     * @param rulesText the whole new rules file
     * @param author the operator's name
     * @param baseNumber number of the configuration that the operator edited; 0 if there was none
     * @param comment reason for the change
     * @return the outcome of the change
     */
    CompletionStage<ApplyOutcome> apply(String rulesText, String author, long baseNumber, String comment);

    /**
     * Returns the configuration that this instance has applied.
     *
     * @return the configuration, or empty if the instance has applied none yet
     */
    CompletionStage<Optional<ConfigDocument>> current();

    /**
     * Returns the current configuration and all earlier ones in the history.
     *
     * @return the configurations without their rules, newest first
     */
    CompletionStage<List<ConfigSummary>> history();

    /**
     * Returns the current or an earlier configuration.
     *
     * @param number number of the configuration
     * @return the configuration, or empty if there is none with this number
     */
    CompletionStage<Optional<ConfigDocument>> historyEntry(long number);

    /**
     * Applies the rules of an earlier configuration as a new one. The stage fails with {@link
     * baobabcroft.common.ErrorCode#NOT_FOUND} if there is no configuration with this number.
     *
     * @param number number of the earlier configuration
     * @param author the operator's name
     * @param baseNumber number of the configuration that is to be replaced
     * @return the outcome of the change
     */
    CompletionStage<ApplyOutcome> rollback(long number, String author, long baseNumber);

    /**
     * Returns the routing decision that this instance would make for a request, and its reasons. Nothing is run.
     *
     * @param query describes the request
     * @return the decision and its steps
     */
    CompletionStage<Explanation> explain(ExplainQuery query);

    /**
     * Returns the state of this instance.
     *
     * @return its configuration, authority, open requests, peers, endpoints and versions
     */
    CompletionStage<StatusReport> status();

    /**
     * Returns all bills, one for each request.
     *
     * @return the bills, earliest first as far as the order of the store's records shows it
     */
    CompletionStage<List<BillView>> bills();

    /**
     * Returns the open claims: non-idempotent requests whose outcome is not known yet.
     *
     * @return the claims, in no particular order
     */
    CompletionStage<List<OpenClaimView>> openClaims();

    /**
     * Starts a planned stop of this instance. Further calls have no effect.
     *
     * @return the progress of the stop
     */
    CompletionStage<DrainReport> drain();
}
