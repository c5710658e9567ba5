package baobabcroft.admin;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * Response body for a change of the rules that was stored.
 *
 * @param number number of the new configuration
 * @param accepted whether every instance that takes work has applied it
 * @param confirmedBy names of the instances that have confirmed it; empty unless accepted
 * @param missing names of the instances that have not confirmed it; empty if accepted
 */
public record ApplyResponse(long number, boolean accepted, List<String> confirmedBy, List<String> missing) {
    /** Copies the lists. */
    public ApplyResponse {
        confirmedBy = ImmutableList.copyOf(confirmedBy);
        missing = ImmutableList.copyOf(missing);
    }
}
