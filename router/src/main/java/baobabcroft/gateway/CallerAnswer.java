package baobabcroft.gateway;

import org.apache.pekko.http.javadsl.model.HttpResponse;

/**
 * An answer to a caller, and whether its body is still being produced.
 *
 * @param response the answer
 * @param streamed whether the request goes on until the body ends
 */
record CallerAnswer(HttpResponse response, boolean streamed) {}
