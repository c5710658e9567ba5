package baobabcroft.session;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.rules.VersionId;
import baobabcroft.slot.CommitResult;
import baobabcroft.slot.Decision;
import baobabcroft.slot.RecordKey;
import baobabcroft.slot.SlotLog;
import baobabcroft.slot.Transition;
import com.google.common.base.Suppliers;
import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

/**
 * Looks up and stores the version that each session is pinned to. Thread-safe.
 *
 * <p>A pin never changes while its session is in use, so it is served from memory, even during an outage of the store.
 */
public final class SessionService {
    private static final Transition<Boolean> LEAVE = (view, nowEpochMillis) -> new Decision.Keep<>(true);

    private final SlotLog log;
    private final SessionSettings settings;
    private final InstantSource clock;
    private final PinRules rules;
    private final Cache<RecordKey, PinRules.Pin> known;

    private SessionService(SlotLog log, SessionSettings settings, InstantSource clock) {
        this.log = checkNotNull(log);
        this.settings = checkNotNull(settings);
        this.clock = checkNotNull(clock);
        this.rules = new PinRules(settings);
        this.known = CacheBuilder.newBuilder().maximumSize(settings.maxCached()).build();
    }

    /**
     * Returns a service that stores its pins in a slot log.
     *
     * @param log the log that holds the pins
     * @param settings the settings, the same on all instances
     * @param clock wall clock
     * @return the service, with an empty cache
     */
    public static SessionService create(SlotLog log, SessionSettings settings, InstantSource clock) {
        return new SessionService(log, settings, clock);
    }

    /**
     * Returns the version of a model that a session is pinned to, after pinning it if the session is new.
     *
     * @param account client account
     * @param session session ID given by the caller
     * @param model name of the model
     * @param choice supplies the version of a new session; called at most once
     * @param onlyOneVersionEver whether the model has never had a second version; if so, new sessions are served even
     *     while the store is unavailable, and pinned once it is available again
     * @return the version, or that it is unavailable
     */
    public CompletionStage<PinResult> pin(
            String account, String session, String model, Supplier<VersionId> choice, boolean onlyOneVersionEver) {
        RecordKey key = PinRules.keyOf(account, session, model);
        PinRules.Pin cached = known.getIfPresent(key);
        Supplier<VersionId> chosen = Suppliers.memoize(choice::get);
        if (cached == null || !rules.isUsable(cached, clock.millis())) {
            return lookUp(key, chosen).thenApply(result -> answer(key, result, chosen, onlyOneVersionEver));
        }
        if (rules.isRefreshDue(cached, clock.millis())) {
            lookUp(key, cached::version).thenAccept(result -> remember(key, result));
        }
        return CompletableFuture.completedFuture(new PinResult.Pinned(cached.version(), false));
    }

    private CompletionStage<CommitResult<PinRules.Pin>> lookUp(RecordKey key, Supplier<VersionId> choice) {
        return log.submit(key, rules.pin(key, choice), settings.limitMillis(), LEAVE);
    }

    private void remember(RecordKey key, CommitResult<PinRules.Pin> result) {
        if (result instanceof CommitResult.Committed<PinRules.Pin> committed) {
            known.put(key, committed.value());
        }
    }

    private PinResult answer(
            RecordKey key, CommitResult<PinRules.Pin> result, Supplier<VersionId> choice, boolean onlyOneVersionEver) {
        if (result instanceof CommitResult.Committed<PinRules.Pin> committed) {
            known.put(key, committed.value());
            return new PinResult.Pinned(
                    committed.value().version(), committed.value().isNew());
        }
        if (!onlyOneVersionEver) {
            return new PinResult.Unavailable(((CommitResult.Unavailable<PinRules.Pin>) result).retryAfterMillis());
        }
        return new PinResult.Pinned(pinLater(key, choice), true);
    }

    private VersionId pinLater(RecordKey key, Supplier<VersionId> choice) {
        VersionId version = choice.get();
        known.put(key, new PinRules.Pin(version, true, clock.millis()));
        log.submitUntilDone(key, rules.pin(key, choice)).thenAccept(pin -> known.put(key, pin));
        return version;
    }
}
