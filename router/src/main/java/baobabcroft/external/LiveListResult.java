package baobabcroft.external;

import com.google.common.collect.ImmutableList;
import java.util.List;

/** Outcome of fetching the live list. */
public sealed interface LiveListResult {
    /**
     * The list as the platform served it; it may be stale.
     *
     * @param entries the entries, in the platform's order
     */
    record Listed(List<LiveEntry> entries) implements LiveListResult {
        /** Copies the entries. */
        public Listed {
            entries = ImmutableList.copyOf(entries);
        }
    }

    /**
     * The list could not be fetched or is invalid.
     *
     * @param reason description of the failure, for logs
     */
    record Unavailable(String reason) implements LiveListResult {}
}
