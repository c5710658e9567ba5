package baobabcroft.gateway;

import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.util.ByteString;

/**
 * The whole answer of a plain service.
 *
 * @param response the answer for the caller
 * @param body its body
 * @param priceMicros price of the call, in millionths of the currency unit
 */
record OperationAnswer(HttpResponse response, ByteString body, long priceMicros) {
    private static final int FIRST_ERROR_STATUS = 400;

    /** Returns whether the operation was performed, so that it is charged. */
    boolean isSuccess() {
        return response.status().intValue() < FIRST_ERROR_STATUS;
    }
}
