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
    private static final Transition<Boolean> NO_UNDO = (view, nowEpochMillis) -> new Decision.Keep<>(true);

    private final SlotLog slotLog;
    private final SessionSettings settings;
    private final InstantSource clock;
    private final PinTransitions transitions;
    private final Cache<RecordKey, PinTransitions.Pin> cachedPins;

    private SessionService(SlotLog slotLog, SessionSettings settings, InstantSource clock) {
        this.slotLog = checkNotNull(slotLog);
        this.settings = checkNotNull(settings);
        this.clock = checkNotNull(clock);
        this.transitions = new PinTransitions(settings);
        this.cachedPins =
                CacheBuilder.newBuilder().maximumSize(settings.maxCached()).build();
    }

    /**
     * Returns a service that stores its pins in a slot log.
     *
     * @param slotLog the log that holds the pins
     * @param settings the settings, the same on all instances
     * @param clock wall clock
     * @return the service, with an empty cache
     */
    public static SessionService create(SlotLog slotLog, SessionSettings settings, InstantSource clock) {
        return new SessionService(slotLog, settings, clock);
    }

    /**
     * Returns the version of a model that a session is pinned to, after pinning it if the session is new.
     *
     * @param account client account
     * @param session session ID given by the caller
     * @param model name of the model
     * @param choice supplies the version of a new session; called at most once
     * @param neverHadSecondVersion whether the model has never had a second version; if so, new sessions are served
     *     even while the store is unavailable, and pinned once it is available again
     * @return the version, or that it is unavailable
     */
    public CompletionStage<PinResult> pin(
            String account, String session, String model, Supplier<VersionId> choice, boolean neverHadSecondVersion) {
        RecordKey key = PinTransitions.keyOf(account, session, model);
        PinTransitions.Pin cached = cachedPins.getIfPresent(key);
        Supplier<VersionId> chosen = Suppliers.memoize(choice::get);
        if (cached == null || !transitions.isUsable(cached, clock.millis())) {
            return lookUp(key, chosen).thenApply(result -> toResult(key, result, chosen, neverHadSecondVersion));
        }
        if (transitions.isRefreshDue(cached, clock.millis())) {
            lookUp(key, cached::version).thenAccept(result -> cachePin(key, result));
        }
        return CompletableFuture.completedFuture(new PinResult.Pinned(cached.version(), false));
    }

    private CompletionStage<CommitResult<PinTransitions.Pin>> lookUp(RecordKey key, Supplier<VersionId> choice) {
        return slotLog.submit(key, transitions.pin(key, choice), settings.timeoutMillis(), NO_UNDO);
    }

    private void cachePin(RecordKey key, CommitResult<PinTransitions.Pin> result) {
        if (result instanceof CommitResult.Committed<PinTransitions.Pin> committed) {
            cachedPins.put(key, committed.value());
        }
    }

    private PinResult toResult(
            RecordKey key,
            CommitResult<PinTransitions.Pin> result,
            Supplier<VersionId> choice,
            boolean neverHadSecondVersion) {
        if (result instanceof CommitResult.Committed<PinTransitions.Pin> committed) {
            cachedPins.put(key, committed.value());
            return new PinResult.Pinned(
                    committed.value().version(), committed.value().isNew());
        }
        if (!neverHadSecondVersion) {
            return new PinResult.Unavailable(
                    ((CommitResult.Unavailable<PinTransitions.Pin>) result).retryAfterMillis());
        }
        return new PinResult.Pinned(pinWhenStoreAvailable(key, choice), true);
    }

    private VersionId pinWhenStoreAvailable(RecordKey key, Supplier<VersionId> choice) {
        VersionId version = choice.get();
        cachedPins.put(key, new PinTransitions.Pin(version, true, clock.millis()));
        slotLog.submitUntilDone(key, transitions.pin(key, choice)).thenAccept(pin -> cachedPins.put(key, pin));
        return version;
    }
}
