package baobabcroft.relay;

import java.util.OptionalLong;

/** Translates between the headers of a front end's protocol and the router's types. Thread-safe. */
public interface RequestDialect {
    /**
     * Returns the values of a caller's headers.
     *
     * @param request the caller's request
     * @return the values, with defaults for absent optional headers
     * @throws baobabcroft.common.RouterException if a header that the router needs is missing or malformed
     */
    CallerMetadata readCaller(CallerRequest request);

    /**
     * Returns the headers to send to an endpoint.
     *
     * @param request the caller's request
     * @param context the values that the router sets for this attempt
     * @return the headers, without those on framing
     */
    Headers toEndpoint(CallerRequest request, ForwardingContext context);

    /**
     * Returns the headers with which another instance gets a request as if the caller had sent it there.
     *
     * @param request the caller's request
     * @param remainingMillis time left until the request's deadline, in milliseconds
     * @param resumeAfter id of the last event that the caller has; empty if the caller's own value stays
     * @return the caller's headers, without those on framing
     */
    Headers toInstance(CallerRequest request, long remainingMillis, OptionalLong resumeAfter);

    /**
     * Returns the values of the status and headers of an endpoint's answer.
     *
     * @param status the HTTP status
     * @param headers the headers
     * @return the values, with defaults for absent optional headers
     */
    AnswerMetadata readAnswer(int status, Headers headers);

    /**
     * Returns whether an answer belongs to a request.
     *
     * @param requestId id of the caller's request
     * @param headers the answer's headers
     * @return true if the answer carries the id of this request and no other
     */
    boolean isResponseTo(String requestId, Headers headers);

    /**
     * Returns whether an answer says which request it belongs to. Those of endpoints always do; the refusals of other
     * instances do not.
     *
     * @param headers the answer's headers
     * @return whether the answer carries the id of any request
     */
    boolean namesRequest(Headers headers);

    /**
     * Returns whether bytes of an answer's body contain the head of another answer, because the endpoint broke off
     * the body and went on with the other answer on the same connection.
     *
     * @param body the body, or a part of it
     * @return whether there is a status line, and after it the header with the id of a request
     */
    boolean containsAnswer(byte[] body);

    /**
     * Returns the headers of an endpoint's answer that are forwarded to the caller.
     *
     * @param headers the endpoint's headers
     * @return the headers, without hop-by-hop headers and those on framing
     */
    Headers toCaller(Headers headers);

    /**
     * Returns the HTTP status with which the router refuses a request.
     *
     * @param refusal why the request is not served
     * @return a status that implies "not run" only if the refusal states it
     */
    int statusOf(Refusal refusal);

    /**
     * Returns the headers with which the router refuses a request.
     *
     * @param refusal why the request is not served
     * @return the headers, without those on framing
     */
    Headers headersOf(Refusal refusal);
}
