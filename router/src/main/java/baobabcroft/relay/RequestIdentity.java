package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * What requests that crash endpoints may have in common: the whole request of a client account, or parts of its prompt.
 *
 * @param request the caller's request
 * @param account name of the client account; empty if none
 * @param prompt size and parts of the prompt; {@link Prompt#NONE} if the request has none
 */
public record RequestIdentity(CallerRequest request, String account, Prompt prompt) {
    /** Rejects null components. */
    public RequestIdentity {
        checkNotNull(request);
        checkNotNull(account);
        checkNotNull(prompt);
    }
}
