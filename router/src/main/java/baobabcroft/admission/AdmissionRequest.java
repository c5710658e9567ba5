package baobabcroft.admission;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * What admission needs to know of a request.
 *
 * @param account the client account's name
 * @param priority the account's class; a greater one goes first
 * @param remainingMillis time until the answer is due, in milliseconds
 * @param expectedServiceMillis expected time from its start to the end of its answer, in milliseconds
 */
public record AdmissionRequest(String account, int priority, long remainingMillis, double expectedServiceMillis) {
    /** Checks the values. */
    public AdmissionRequest {
        checkNotNull(account);
        checkArgument(expectedServiceMillis >= 0, "negative expectedServiceMillis: %s", expectedServiceMillis);
    }
}
