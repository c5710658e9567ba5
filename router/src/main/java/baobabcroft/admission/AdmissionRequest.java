package baobabcroft.admission;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The properties of a request that decide on its admission.
 *
 * @param account name of the client account
 * @param priority priority of the account; a greater value goes first
 * @param remainingMillis time until the deadline of the request, in milliseconds
 * @param expectedServiceMillis expected time from the start of the request to the end of its answer, in milliseconds
 */
public record AdmissionRequest(String account, int priority, long remainingMillis, double expectedServiceMillis) {
    /** Validates the values. */
    public AdmissionRequest {
        checkNotNull(account);
        checkArgument(expectedServiceMillis >= 0, "negative expectedServiceMillis: %s", expectedServiceMillis);
    }
}
