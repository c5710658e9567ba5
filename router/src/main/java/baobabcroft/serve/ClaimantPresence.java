package baobabcroft.serve;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.claim.InstancePresence;
import baobabcroft.membership.PresenceTable;
import com.google.common.base.Ticker;

/** Tells whether the start of an instance that made a claim is gone, by its heartbeats. Thread-safe. */
final class ClaimantPresence implements InstancePresence {
    private static final int HEXADECIMAL = 16;

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
        int hash = instance.lastIndexOf('#');
        if (hash < 0) {
            return false;
        }
        long incarnation = Long.parseLong(instance.substring(hash + 1), HEXADECIMAL);
        return !presence.isAlive(instance.substring(0, hash), incarnation, ticker.read());
    }
}
