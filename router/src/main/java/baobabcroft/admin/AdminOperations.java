package baobabcroft.admin;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/**
 * What operators can ask of an instance.
 *
 * <p>A stage that cannot answer completes with a {@link baobabcroft.common.RouterException}, except where the result
 * type says so itself. Implementations are thread-safe.
 */
public interface AdminOperations {
    /**
     * Changes the rules if the configuration is still the one that the change is based on.
     *
     * @param rulesText the whole new rules file
     * @param author the operator's name
     * @param baseNumber number of the configuration that the operator started from; 0 if there was none
     * @param comment why the change is made
     * @return what became of the change
     */
    CompletionStage<ApplyOutcome> apply(String rulesText, String author, long baseNumber, String comment);

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, or empty if none was ever applied
     */
    CompletionStage<Optional<ConfigDocument>> current();

    /**
     * Returns all configurations that were ever applied.
     *
     * @return the configurations, the newest first
     */
    CompletionStage<List<ConfigSummary>> history();

    /**
     * Returns a configuration that was once applied.
     *
     * @param number its number
     * @return the configuration, if there is one of this number
     */
    CompletionStage<Optional<ConfigDocument>> historyEntry(long number);

    /**
     * Applies the rules of an earlier configuration as a new one. The stage fails with {@link
     * baobabcroft.common.ErrorCode#NOT_FOUND} if there is none of this number.
     *
     * @param number number of the earlier configuration
     * @param author the operator's name
     * @param baseNumber number of the configuration that the operator wants to replace
     * @return what became of the change
     */
    CompletionStage<ApplyOutcome> rollback(long number, String author, long baseNumber);

    /**
     * Tells what this instance would do with a request, and why. Nothing is run.
     *
     * @param query the request
     * @return the decision
     */
    CompletionStage<Explanation> explain(ExplainQuery query);

    /**
     * Returns the state of this instance.
     *
     * @return the state
     */
    CompletionStage<StatusReport> status();

    /**
     * Returns all bills, each request once.
     *
     * @return the bills, earliest first as far as the store's order tells
     */
    CompletionStage<List<BillView>> bills();

    /**
     * Returns the non-idempotent requests whose outcome is not known yet.
     *
     * @return the open claims
     */
    CompletionStage<List<OpenClaimView>> openClaims();

    /**
     * Starts a planned stop of this instance. A second call changes nothing.
     *
     * @return the state of the stop
     */
    CompletionStage<DrainReport> drain();
}
