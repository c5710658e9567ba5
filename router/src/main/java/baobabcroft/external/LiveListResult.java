package baobabcroft.external;

import com.google.common.collect.ImmutableList;
import java.util.List;

/** Outcome of reading the live list. */
public sealed interface LiveListResult {
    /**
     * The list as the platform has it, which lags.
     *
     * @param entries the entries, in the list's order
     */
    record Listed(List<LiveEntry> entries) implements LiveListResult {
        /** Copies the entries. */
        public Listed {
            entries = ImmutableList.copyOf(entries);
        }
    }

    /**
     * The list could not be read.
     *
     * @param reason what was seen
     */
    record Unavailable(String reason) implements LiveListResult {}
}
