package baobabcroft.admin;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * Body of the answer to a change that was stored.
 *
 * @param number number of the new configuration
 * @param accepted whether it is in force on every instance that takes work
 * @param confirmedBy instances that have confirmed it, if it is accepted
 * @param missing instances that have not confirmed it, if it is not accepted
 */
public record ApplyResponse(long number, boolean accepted, List<String> confirmedBy, List<String> missing) {
    /** Copies the names. */
    public ApplyResponse {
        confirmedBy = ImmutableList.copyOf(confirmedBy);
        missing = ImmutableList.copyOf(missing);
    }
}
