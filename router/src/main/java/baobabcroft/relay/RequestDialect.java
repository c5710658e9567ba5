package baobabcroft.relay;

/** Translates between the headers of a face's wire and the router's types. Thread-safe. */
public interface RequestDialect {
    /**
     * Reads a caller's headers.
     *
     * @param request the request
     * @return what they say
     * @throws baobabcroft.common.RouterException if a header that the router needs is missing or malformed
     */
    CallerMetadata readCaller(CallerRequest request);

    /**
     * Returns the headers that an endpoint receives.
     *
     * @param request the caller's request
     * @param order what the router adds
     * @return the headers, without those on framing
     */
    Headers toEndpoint(CallerRequest request, ForwardingContext order);

    /**
     * Reads the head of an endpoint's answer.
     *
     * @param status its status
     * @param headers its headers
     * @return what they say
     */
    AnswerMetadata readAnswer(int status, Headers headers);

    /**
     * Returns whether an answer belongs to a request.
     *
     * @param requestId id of the request
     * @param headers the answer's headers
     * @return false if it bears the id of another request, or none
     */
    boolean isAnswerTo(String requestId, Headers headers);

    /**
     * Returns the headers of an endpoint's answer that the caller receives.
     *
     * @param headers the endpoint's headers
     * @return the headers, without those on framing and on one connection
     */
    Headers toCaller(Headers headers);

    /**
     * Returns the status of the router's own final answer.
     *
     * @param refusal why the request is not served
     * @return an HTTP status that promises no more than the refusal
     */
    int statusOf(Refusal refusal);

    /**
     * Returns the headers of the router's own final answer.
     *
     * @param refusal why the request is not served
     * @return the headers, without those on framing
     */
    Headers headersOf(Refusal refusal);
}
