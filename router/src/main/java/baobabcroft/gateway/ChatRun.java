package baobabcroft.gateway;

import baobabcroft.chat.ChatBody;
import baobabcroft.limit.LimitReservation;
import baobabcroft.rules.VersionId;
import java.util.Optional;

/**
 * A chat request on its way.
 *
 * @param caller who sent it
 * @param body what was sent
 * @param usage its hold on the account's limits
 */
record ChatRun(CallerRequest caller, ChatBody body, LimitReservation usage) {
    /** Returns the version that the caller named, if it named one and not a model or cascade. */
    Optional<VersionId> explicitVersion() {
        return VersionId.parse(body.model());
    }

    /** Returns what the request costs. */
    Charge charge(String item, long tokens, long amountMicros, boolean whole) {
        return new Charge(caller.account().name(), caller.billingId(body.digest()), item, tokens, amountMicros, whole);
    }
}
