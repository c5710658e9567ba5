package baobabcroft.limit;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalDouble;

/**
 * What an endpoint has told an instance of the limit on its requests, for other instances.
 *
 * @param incarnationHash names one start of the endpoint
 * @param perSecond requests a second that it takes from all instances together; empty if it has stated no limit any more
 * @param ageMillis time since then, in milliseconds
 */
public record LimitReport(long incarnationHash, OptionalDouble perSecond, long ageMillis) {
    /** Validates the components. */
    public LimitReport {
        checkNotNull(perSecond);
        checkArgument(ageMillis >= 0, "negative ageMillis: %s", ageMillis);
    }

    LimitReport olderBy(long millis) {
        return new LimitReport(incarnationHash, perSecond, ageMillis + millis);
    }
}
