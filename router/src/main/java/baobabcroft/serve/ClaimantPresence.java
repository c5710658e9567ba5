package baobabcroft.serve;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.claim.InstancePresence;
import baobabcroft.membership.PresenceTable;
import com.google.common.base.Ticker;

/**
 * Uses heartbeats to determine whether the incarnation of an instance that made a claim has ended.
 *
 * <p>Claims name their instance as {@code name#incarnation}, with the incarnation in hexadecimal. A name without an
 * incarnation, or this instance's own, is never reported as dead. Thread-safe.
 */
final class ClaimantPresence implements InstancePresence {
    private static final int HEX_RADIX = 16;

    private final String self;
    private final PresenceTable presence;
    private final Ticker ticker;

    ClaimantPresence(String self, PresenceTable presence, Ticker ticker) {
        this.self = checkNotNull(self);
        this.presence = checkNotNull(presence);
        this.ticker = checkNotNull(ticker);
    }

    @Override
    public boolean hasTerminated(String instance) {
        if (instance.equals(self)) {
            return false;
        }
        int separator = instance.lastIndexOf('#');
        if (separator < 0) {
            return false;
        }
        long incarnation = Long.parseLong(instance.substring(separator + 1), HEX_RADIX);
        return !presence.isAlive(instance.substring(0, separator), incarnation, ticker.read());
    }
}
