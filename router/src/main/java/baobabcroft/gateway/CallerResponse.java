package baobabcroft.gateway;

import org.apache.pekko.http.javadsl.model.HttpResponse;

/**
 * A response to a caller.
 *
 * @param response the HTTP response
 * @param streamed whether the body is streamed; if so, the request is in progress until the body ends
 */
record CallerResponse(HttpResponse response, boolean streamed) {}
