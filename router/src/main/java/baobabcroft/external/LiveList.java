package baobabcroft.external;

import java.util.concurrent.CompletionStage;

/** Client of the platform's list of live and leaving instances and endpoints, which may be stale. Thread-safe. */
@FunctionalInterface
public interface LiveList {
    /**
     * Fetches the list.
     *
     * @return the list, or the reason why it is unavailable; never completes exceptionally
     */
    CompletionStage<LiveListResult> fetch();
}
