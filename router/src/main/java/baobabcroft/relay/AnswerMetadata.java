package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * Values read from the status and headers of an endpoint's answer.
 *
 * @param notRun whether the endpoint states that it has not run this request
 * @param promisesNotRun whether callers would take the status for a promise that the request has not run
 * @param otherEndpoint whether the endpoint is not the one that the request was addressed to
 * @param stamped whether the answer carries the endpoint's response stamp; a success without it is malformed
 * @param encoded whether the body has a content encoding, which endpoints do not apply; such a success is malformed
 * @param confidencePercent the model's confidence in its answer, in percent; empty if not given
 * @param leaving whether the endpoint states that it is shutting down
 * @param pauseSeconds seconds for which the endpoint wants no requests, as stated with a rejection; empty if not given
 * @param limitPerSecond requests a second that the endpoint takes from all instances together; empty if not given
 * @param toleratedRejections rejections a second above which the endpoint falls over; empty if not given
 */
public record AnswerMetadata(
        boolean notRun,
        boolean promisesNotRun,
        boolean otherEndpoint,
        boolean stamped,
        boolean encoded,
        OptionalInt confidencePercent,
        boolean leaving,
        Optional<String> pauseSeconds,
        Optional<String> limitPerSecond,
        Optional<String> toleratedRejections) {
    /** Validates the components. */
    public AnswerMetadata {
        checkNotNull(confidencePercent);
        checkNotNull(pauseSeconds);
        checkNotNull(limitPerSecond);
        checkNotNull(toleratedRejections);
    }
}
