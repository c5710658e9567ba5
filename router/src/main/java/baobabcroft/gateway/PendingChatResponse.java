package baobabcroft.gateway;

import baobabcroft.chat.ChatCompletion;
import baobabcroft.rules.VersionId;
import org.apache.pekko.util.ByteString;

/**
 * A complete chat response that has not been released to the caller.
 *
 * @param endpointResponse the endpoint response that carried it
 * @param bytes the body
 * @param completion the parsed body
 * @param tokens number of generated tokens, including those of earlier steps of a cascade
 * @param amountMicros price of these tokens, in millionths of the currency unit
 */
record PendingChatResponse(
        EndpointResponse endpointResponse,
        ByteString bytes,
        ChatCompletion completion,
        long tokens,
        long amountMicros) {
    /** Returns the response of a request's first step. */
    static PendingChatResponse of(EndpointResponse endpointResponse, ByteString bytes, ChatCompletion completion) {
        long amountMicros = Charge.priceMicros(
                completion.completionTokens(), endpointResponse.target().priceMicros());
        return new PendingChatResponse(
                endpointResponse, bytes, completion, completion.completionTokens(), amountMicros);
    }

    /** Returns this response with the tokens and the price of an earlier step added. */
    PendingChatResponse withCostOf(PendingChatResponse earlier) {
        return new PendingChatResponse(
                endpointResponse, bytes, completion, tokens + earlier.tokens, amountMicros + earlier.amountMicros);
    }

    /** Returns the version that generated the response. */
    VersionId version() {
        return VersionId.parse(endpointResponse.target().name()).orElseThrow();
    }
}
