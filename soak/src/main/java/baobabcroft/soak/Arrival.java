package baobabcroft.soak;

import baobabcroft.standin.platform.EndpointObserver.Statement;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What an endpoint saw of one request. Times are in milliseconds since the start of traffic.
 *
 * @param endpoint id of the endpoint
 * @param start number of the endpoint's start
 * @param requestId the request's id
 * @param instance number of the instance that sent it; negative if that is not known
 * @param atMillis when it arrived
 * @param answeredMillis when it was answered; empty if it was not
 * @param ran whether it was run
 * @param statement what the answer states
 */
record Arrival(
        String endpoint,
        long start,
        String requestId,
        int instance,
        long atMillis,
        OptionalLong answeredMillis,
        boolean ran,
        Optional<Statement> statement) {
    /** One start of an endpoint. */
    record Subject(String endpoint, long start) {}

    Arrival minus(long millis) {
        return new Arrival(
                endpoint,
                start,
                requestId,
                instance,
                atMillis - millis,
                answeredMillis.isPresent()
                        ? OptionalLong.of(answeredMillis.getAsLong() - millis)
                        : OptionalLong.empty(),
                ran,
                statement);
    }

    Subject subject() {
        return new Subject(endpoint, start);
    }
}
