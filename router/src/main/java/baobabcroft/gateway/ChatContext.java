package baobabcroft.gateway;

import baobabcroft.chat.ChatBody;
import baobabcroft.limit.LimitReservation;
import baobabcroft.rules.VersionId;
import java.util.Optional;

/**
 * A chat request in progress.
 *
 * @param caller metadata of the request
 * @param body the request body
 * @param reservation the request's usage of the account limits
 */
record ChatContext(CallerRequest caller, ChatBody body, LimitReservation reservation) {
    /** Returns the requested version, or empty if the caller requested a model or cascade. */
    Optional<VersionId> requestedVersion() {
        return VersionId.parse(body.model());
    }

    /** Returns the charge for the request. */
    Charge charge(String item, long tokens, long amountMicros, boolean complete) {
        return new Charge(
                caller.account().name(), caller.billingId(body.digest()), item, tokens, amountMicros, complete);
    }
}
