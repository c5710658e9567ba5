package baobabcroft.limit;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalDouble;

/**
 * What an endpoint has told an instance of a bound on its requests, for other instances.
 *
 * @param subjectHash names what the bound applies to
 * @param bound the bound; empty if the endpoint has stated none any more
 * @param ageMillis time since then, in milliseconds
 */
public record BoundReport(long subjectHash, OptionalDouble bound, long ageMillis) {
    /** Validates the components. */
    public BoundReport {
        checkNotNull(bound);
        checkArgument(ageMillis >= 0, "negative ageMillis: %s", ageMillis);
    }

    BoundReport olderBy(long millis) {
        return new BoundReport(subjectHash, bound, ageMillis + millis);
    }
}
