package baobabcroft.gateway;

import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.util.ByteString;

/**
 * The complete response of a plain service.
 *
 * @param response the response for the caller
 * @param body the body of the response
 * @param priceMicros price of the call, in millionths of the currency unit
 */
record OperationResponse(HttpResponse response, ByteString body, long priceMicros) {
    private static final int FIRST_ERROR_STATUS = 400;

    /** Returns whether the operation succeeded. Only successful operations are charged. */
    boolean isSuccess() {
        return response.status().intValue() < FIRST_ERROR_STATUS;
    }
}
