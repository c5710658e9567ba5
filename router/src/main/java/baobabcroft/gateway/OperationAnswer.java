package baobabcroft.gateway;

import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/**
 * The whole answer of a plain service.
 *
 * @param response the answer for the caller
 * @param entity its body
 * @param priceMicros price of the call, in millionths of the currency unit
 */
record OperationAnswer(HttpResponse response, HttpEntity.Strict entity, long priceMicros) {
    private static final int FIRST_ERROR_STATUS = 400;

    /** Returns whether the operation was performed, so that it is charged. */
    boolean isSuccess() {
        return response.status().intValue() < FIRST_ERROR_STATUS;
    }
}
