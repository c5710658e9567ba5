package baobabcroft.config;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.common.Scheduler;
import baobabcroft.external.KeyValueStore;
import baobabcroft.membership.Members;
import baobabcroft.peer.PeerTransport;
import baobabcroft.rules.ParsedRules;
import com.google.common.base.Ticker;
import java.time.InstantSource;
import java.util.function.Function;

/**
 * What the configuration protocol of one instance works with.
 *
 * @param self the instance's name, as the platform lists it
 * @param incarnation random number of this start
 * @param store the platform's store
 * @param transport asks the other instances
 * @param members the platform's list
 * @param scheduler runs what is due later
 * @param ticker the monotonic clock
 * @param wallClock dates new documents
 * @param timings times, the same on all instances
 * @param parser reads rules files
 */
public record ConfigContext(
        String self,
        long incarnation,
        KeyValueStore store,
        PeerTransport transport,
        Members members,
        Scheduler scheduler,
        Ticker ticker,
        InstantSource wallClock,
        ConfigTimings timings,
        Function<String, ParsedRules> parser) {
    /** Checks the parts. */
    public ConfigContext {
        checkNotNull(self);
        checkNotNull(store);
        checkNotNull(transport);
        checkNotNull(members);
        checkNotNull(scheduler);
        checkNotNull(ticker);
        checkNotNull(wallClock);
        checkNotNull(timings);
        checkNotNull(parser);
    }
}
