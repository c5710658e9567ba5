package baobabcroft.external;

import java.util.concurrent.CompletionStage;

/** The platform's lagging list of live and leaving instances and endpoints. Thread-safe. */
@FunctionalInterface
public interface LiveList {
    /**
     * Reads the list.
     *
     * @return the list or why there is none; never completes exceptionally
     */
    CompletionStage<LiveListResult> fetch();
}
