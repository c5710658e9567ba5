package baobabcroft.instance;

import baobabcroft.common.Scheduler;
import baobabcroft.directory.EndpointEntry;
import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import baobabcroft.poison.Crash;
import baobabcroft.poison.CrashLedger;
import baobabcroft.poison.PromptPartLedger;
import baobabcroft.relay.CallerRequest;
import baobabcroft.relay.PoisonDetector;
import baobabcroft.relay.PromptPart;
import baobabcroft.relay.RequestIdentity;
import com.google.common.collect.ImmutableSet;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

/**
 * Detects requests, and parts of their prompts, that crash endpoints, together with the other instances. A lost
 * connection alone is not a crash: an endpoint counts as crashed if it accepts no new connection shortly afterwards,
 * while others do. Not thread-safe.
 */
final class CrashTracker implements PoisonDetector {
    /** Crashed endpoints after which a request is no longer sent; the contract allows three crashes. */
    private static final int POISON_ENDPOINTS = 3;
    /** How long a crash counts: callers retry within minutes. */
    private static final long RETENTION_MILLIS = 600_000;

    private static final int MAX_REQUESTS = 2_000;
    private static final int MAX_PARTS = 4_000;
    /** Requests, and prompt parts, whose crashes are published to the other instances; the newest ones. */
    private static final int MAX_PUBLISHED = 200;
    /** Prompt parts in one log line. */
    private static final int MAX_LOGGED_PARTS = 20;
    /** Delay before an endpoint whose connection was lost is checked. */
    private static final long CHECK_DELAY_MILLIS = 30;
    /** Delay in which crashes are batched before they are published. */
    private static final long PUBLISH_DELAY_MILLIS = 300;
    /** Crashes of a part from which other instances may soon refuse it, so that its clearance is published. */
    private static final int PUBLISHED_CLEARANCE_CRASHES = 2;
    /** Longest delay before a clearance is published, in milliseconds: other instances may publish the same. */
    private static final long MAX_CLEARANCE_DELAY_MILLIS = 1_500;

    private final CrashLedger ledger = CrashLedger.create(RETENTION_MILLIS, MAX_REQUESTS, POISON_ENDPOINTS);
    private final PromptPartLedger parts = PromptPartLedger.create(RETENTION_MILLIS, MAX_PARTS);
    private final Scheduler scheduler;
    private final LongSupplier nowMillis;
    private final DoubleSupplier random;
    private final BiConsumer<EndpointEntry, Consumer<Boolean>> checkFailed;
    private final Consumer<CrashRecord> publisher;
    private final Map<String, LostRequests> lostByIncarnation = new HashMap<>();
    private final PublishedSets publishedDigests = new PublishedSets(MAX_PUBLISHED);
    private final PublishedSets publishedParts = new PublishedSets(MAX_PUBLISHED);
    private final PublishedSets publishedClearances = new PublishedSets(MAX_PUBLISHED);
    /** Clearances that no instance has published yet. */
    private final PublishedSets newClearances = new PublishedSets(MAX_PUBLISHED);

    private final Set<String> stoppedParts = new HashSet<>();
    private final EventLog log = EventLog.of(CrashTracker.class);
    private boolean publishPending;
    private boolean clearancePending;

    /** Requests without output whose connections to one endpoint were lost. */
    private static final class LostRequests {
        private final Set<String> digests = new HashSet<>();
        private final Set<String> parts = new LinkedHashSet<>();
    }

    CrashTracker(
            Scheduler scheduler,
            LongSupplier nowMillis,
            DoubleSupplier random,
            BiConsumer<EndpointEntry, Consumer<Boolean>> checkFailed,
            Consumer<CrashRecord> publisher) {
        this.scheduler = scheduler;
        this.nowMillis = nowMillis;
        this.random = random;
        this.checkFailed = checkFailed;
        this.publisher = publisher;
    }

    @Override
    public boolean isPoison(RequestIdentity request) {
        if (ledger.isEmpty()) {
            return false;
        }
        long now = nowMillis.getAsLong();
        return ledger.isPoison(digest(request), now)
                || request.prompt().sharedParts().stream().anyMatch(part -> parts.isPoison(part.id(), now));
    }

    @Override
    public void onConnectionLost(RequestIdentity request, EndpointEntry endpoint) {
        String incarnation = endpoint.id() + '#' + endpoint.startedAtEpochMillis();
        LostRequests lost = lostByIncarnation.get(incarnation);
        if (lost == null) {
            lost = new LostRequests();
            lostByIncarnation.put(incarnation, lost);
            scheduler.schedule(
                    CHECK_DELAY_MILLIS, () -> checkFailed.accept(endpoint, failed -> onChecked(incarnation, failed)));
        }
        lost.digests.add(digest(request));
        lost.parts.addAll(sharedPartIds(request));
    }

    private void onChecked(String incarnation, boolean failed) {
        LostRequests lost = lostByIncarnation.remove(incarnation);
        if (!failed || lost == null) {
            return;
        }
        log.log(
                LogEvent.ENDPOINT_CRASHED,
                incarnation,
                lost.digests.size(),
                lost.parts.stream().limit(MAX_LOGGED_PARTS).collect(Collectors.joining(",")));
        lost.digests.forEach(digest -> {
            ledger.add(new Crash(digest, incarnation, nowMillis.getAsLong()));
            publishedDigests.add(digest, incarnation);
        });
        lost.parts.forEach(part -> {
            addPartCrash(part, incarnation);
            publishedParts.add(part, incarnation);
        });
        if (!publishPending) {
            publishPending = true;
            scheduler.schedule(PUBLISH_DELAY_MILLIS, this::publish);
        }
    }

    private void addPartCrash(String part, String incarnation) {
        long now = nowMillis.getAsLong();
        parts.addCrash(part, incarnation, now);
        if (parts.isPoison(part, now) && stoppedParts.add(part)) {
            log.log(LogEvent.PROMPT_PART_STOPPED, part, parts.suspicions(part, now));
        }
    }

    @Override
    public void onAnswered(RequestIdentity request) {
        for (String part : sharedPartIds(request)) {
            ImmutableSet<String> cleared = parts.addAnswer(part);
            cleared.forEach(incarnation -> newClearances.add(part, incarnation));
            if (!cleared.isEmpty()) {
                logIfCleared(part);
            }
            boolean suspectElsewhere = parts.crashCount(part) >= PUBLISHED_CLEARANCE_CRASHES;
            if (!cleared.isEmpty() && suspectElsewhere && !clearancePending) {
                clearancePending = true;
                scheduler.schedule(
                        (long) (random.getAsDouble() * MAX_CLEARANCE_DELAY_MILLIS), this::publishNewClearances);
            }
        }
    }

    /** Publishes the clearances that no other instance has published in the meantime. */
    private void publishNewClearances() {
        clearancePending = false;
        if (!newClearances.snapshot().isEmpty() && !publishPending) {
            publish();
        }
    }

    private void publish() {
        publishPending = false;
        newClearances.snapshot().forEach(publishedClearances::add);
        newClearances.retain((part, incarnation) -> false);
        long now = nowMillis.getAsLong();
        publishedParts.retain((part, incarnation) -> parts.suspicions(part, now).contains(incarnation));
        publisher.accept(new CrashRecord(
                publishedDigests.snapshot(), publishedParts.snapshot(), publishedClearances.snapshot()));
    }

    /**
     * Adds the crashes that an instance has published.
     *
     * @param record the published record
     * @param own whether this instance has published it, before a restart or before the store lost a later one
     */
    void onPublished(CrashRecord record, boolean own) {
        record.endpointsByDigest()
                .forEach((digest, endpoint) -> ledger.add(new Crash(digest, endpoint, nowMillis.getAsLong())));
        record.clearedByPart().forEach(parts::addClearance);
        record.clearedByPart().keySet().forEach(this::logIfCleared);
        newClearances.retain((part, incarnation) -> !record.clearedByPart().containsEntry(part, incarnation));
        record.endpointsByPart().forEach(this::addPartCrash);
        if (own) {
            record.endpointsByDigest().forEach(publishedDigests::add);
            record.endpointsByPart().forEach(publishedParts::add);
            record.clearedByPart().forEach(publishedClearances::add);
        }
    }

    private void logIfCleared(String part) {
        if (stoppedParts.contains(part) && !parts.isPoison(part, nowMillis.getAsLong())) {
            stoppedParts.remove(part);
            log.log(LogEvent.PROMPT_PART_CLEARED, part);
        }
    }

    private static ImmutableSet<String> sharedPartIds(RequestIdentity request) {
        return request.prompt().sharedParts().stream().map(PromptPart::id).collect(ImmutableSet.toImmutableSet());
    }

    private static String digest(RequestIdentity identity) {
        CallerRequest request = identity.request();
        Hasher hasher = Hashing.murmur3_128().newHasher();
        hasher.putString(request.method() + ' ' + request.target() + ' ' + identity.account(), StandardCharsets.UTF_8);
        return hasher.putBytes(request.body()).hash().toString();
    }
}
