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
 * Dependencies of the configuration protocol of one instance.
 *
 * @param self name of the instance in the platform's live list
 * @param incarnation random number that identifies this run of the instance
 * @param store the platform's store
 * @param transport sends requests to the other instances
 * @param members the instances over which majorities are counted
 * @param scheduler runs delayed tasks
 * @param ticker monotonic clock
 * @param wallClock clock for the creation times of new documents
 * @param timings timing of the protocol, the same on all instances
 * @param parser parser of rules files
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
    /** Rejects null components. */
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
