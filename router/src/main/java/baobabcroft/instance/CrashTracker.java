package baobabcroft.instance;

import baobabcroft.common.Scheduler;
import baobabcroft.directory.EndpointEntry;
import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import baobabcroft.poison.PromptPartLedger;
import baobabcroft.poison.RequestCrashLedger;
import baobabcroft.relay.CallerRequest;
import baobabcroft.relay.PoisonDetector;
import baobabcroft.relay.PromptPart;
import baobabcroft.relay.RequestIdentity;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSetMultimap;
import com.google.common.collect.SetMultimap;
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
    /** How long a crash counts: callers retry within minutes. */
    private static final long RETENTION_MILLIS = 600_000;

    private static final int MAX_REQUESTS = 4_000;
    private static final int MAX_PARTS = 4_000;
    /** Requests, and prompt parts, whose crashes are published to the other instances; the newest ones. */
    private static final int MAX_PUBLISHED = 200;
    /** Prompt parts in one log line. */
    private static final int MAX_LOGGED_PARTS = 20;
    /** Delay before an endpoint whose connection was lost is checked. */
    private static final long CHECK_DELAY_MILLIS = 30;
    /** Delay after which a trial's crash is judged: by then the other instances have published theirs. */
    private static final long CONFIRMATION_DELAY_MILLIS = 5_000;
    /** Delay in which crashes are batched before they are published. */
    private static final long PUBLISH_DELAY_MILLIS = 300;
    /** Crashes of a part from which other instances may soon refuse it, so that its clearance is published. */
    private static final int PUBLISHED_CLEARANCE_CRASHES = 2;
    /** Longest delay before a clearance is published, in milliseconds: other instances may publish the same. */
    private static final long MAX_CLEARANCE_DELAY_MILLIS = 1_500;

    private final RequestCrashLedger requests;
    private final PromptPartLedger parts = PromptPartLedger.create(RETENTION_MILLIS, MAX_PARTS);
    private final Scheduler scheduler;
    private final LongSupplier nowMillis;
    private final DoubleSupplier random;
    private final BiConsumer<EndpointEntry, Consumer<Boolean>> checkFailed;
    private final Consumer<CrashRecord> publisher;
    private final Map<String, LostRequests> lostByIncarnation = new HashMap<>();
    private final PublishedSets publishedDigests = new PublishedSets(MAX_PUBLISHED);
    private final PublishedSets publishedParts = new PublishedSets(MAX_PUBLISHED);
    private final PublishedSets publishedConfirmations = new PublishedSets(MAX_PUBLISHED);
    private final Clearances digestClearances = new Clearances();
    private final Clearances partClearances = new Clearances();

    private final Set<String> stoppedParts = new HashSet<>();
    private final EventLog log = EventLog.of(CrashTracker.class);
    private boolean publishPending;
    private boolean clearancePending;

    /** Requests whose connections to one endpoint were lost. */
    private static final class LostRequests {
        private final Set<String> digests = new HashSet<>();
        private final Set<String> parts = new LinkedHashSet<>();
    }

    /** Clearances by answers, for the other instances. */
    private static final class Clearances {
        private final PublishedSets published = new PublishedSets(MAX_PUBLISHED);
        /** Those that no instance has published yet. */
        private final PublishedSets unpublished = new PublishedSets(MAX_PUBLISHED);

        private boolean hasUnpublished() {
            return !unpublished.snapshot().isEmpty();
        }

        private ImmutableSetMultimap<String, String> publish() {
            unpublished.snapshot().forEach(published::add);
            unpublished.retain((name, incarnation) -> false);
            return published.snapshot();
        }

        private void onPublished(SetMultimap<String, String> clearances, boolean own) {
            unpublished.retain((name, incarnation) -> !clearances.containsEntry(name, incarnation));
            if (own) {
                clearances.forEach(published::add);
            }
        }
    }

    CrashTracker(
            Scheduler scheduler,
            LongSupplier nowMillis,
            DoubleSupplier random,
            BiConsumer<EndpointEntry, Consumer<Boolean>> checkFailed,
            Consumer<CrashRecord> publisher) {
        this.requests = RequestCrashLedger.create(RETENTION_MILLIS, MAX_REQUESTS, random);
        this.scheduler = scheduler;
        this.nowMillis = nowMillis;
        this.random = random;
        this.checkFailed = checkFailed;
        this.publisher = publisher;
    }

    @Override
    public boolean admit(RequestIdentity request) {
        if (requests.isEmpty()) {
            return true;
        }
        return !hasPoisonPart(request) && requests.admit(digest(request), nowMillis.getAsLong());
    }

    @Override
    public boolean isPoison(RequestIdentity request) {
        return !requests.isEmpty()
                && (hasPoisonPart(request) || requests.isPoison(digest(request), nowMillis.getAsLong()));
    }

    private boolean hasPoisonPart(RequestIdentity request) {
        long now = nowMillis.getAsLong();
        return request.prompt().sharedParts().stream().anyMatch(part -> parts.isPoison(part.id(), now));
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
        long now = nowMillis.getAsLong();
        requests.addObserved(lost.digests, incarnation, now)
                .forEach(digest -> scheduler.schedule(CONFIRMATION_DELAY_MILLIS, () -> confirm(digest, incarnation)));
        lost.digests.forEach(digest -> {
            publishedDigests.add(digest, incarnation);
            if (requests.isPoison(digest, now)) {
                log.log(LogEvent.POISON_REQUEST_STOPPED, digest, incarnation);
            }
        });
        lost.parts.forEach(part -> {
            addPartCrash(part, incarnation);
            publishedParts.add(part, incarnation);
        });
        schedulePublishing();
    }

    private void confirm(String digest, String incarnation) {
        long now = nowMillis.getAsLong();
        if (requests.confirm(digest, incarnation, parts.mayExplain(incarnation, now), now)) {
            publishedConfirmations.add(digest, incarnation);
            schedulePublishing();
        }
    }

    private void schedulePublishing() {
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
        if (!requests.isEmpty()) {
            String digest = digest(request);
            onCleared(digestClearances, digest, requests.addAnswer(digest), requests.crashCount(digest));
        }
        for (String part : sharedPartIds(request)) {
            ImmutableSet<String> cleared = parts.addAnswer(part);
            if (!cleared.isEmpty()) {
                logIfCleared(part);
            }
            onCleared(partClearances, part, cleared, parts.crashCount(part));
        }
    }

    private void onCleared(Clearances clearances, String name, Set<String> cleared, int crashCount) {
        cleared.forEach(incarnation -> clearances.unpublished.add(name, incarnation));
        boolean suspectElsewhere = crashCount >= PUBLISHED_CLEARANCE_CRASHES;
        if (!cleared.isEmpty() && suspectElsewhere && !clearancePending) {
            clearancePending = true;
            scheduler.schedule((long) (random.getAsDouble() * MAX_CLEARANCE_DELAY_MILLIS), this::publishNewClearances);
        }
    }

    /** Publishes the clearances that no other instance has published in the meantime. */
    private void publishNewClearances() {
        clearancePending = false;
        if ((digestClearances.hasUnpublished() || partClearances.hasUnpublished()) && !publishPending) {
            publish();
        }
    }

    private void publish() {
        publishPending = false;
        long now = nowMillis.getAsLong();
        publishedDigests.retain(
                (digest, incarnation) -> requests.suspicions(digest, now).contains(incarnation));
        publishedConfirmations.retain(
                (digest, incarnation) -> requests.suspicions(digest, now).contains(incarnation));
        publishedParts.retain((part, incarnation) -> parts.suspicions(part, now).contains(incarnation));
        publisher.accept(new CrashRecord(
                publishedDigests.snapshot(),
                digestClearances.publish(),
                publishedConfirmations.snapshot(),
                publishedParts.snapshot(),
                partClearances.publish()));
    }

    /**
     * Adds the crashes that an instance has published.
     *
     * @param record the published record
     * @param own whether this instance has published it, before a restart or before the store lost a later one
     */
    void onPublished(CrashRecord record, boolean own) {
        long now = nowMillis.getAsLong();
        record.clearedByDigest().forEach(requests::addClearance);
        record.endpointsByDigest().forEach((digest, incarnation) -> requests.addCrash(digest, incarnation, now));
        record.confirmedByDigest().keySet().forEach(digest -> requests.addConfirmation(digest, now));
        record.clearedByPart().forEach(parts::addClearance);
        record.clearedByPart().keySet().forEach(this::logIfCleared);
        record.endpointsByPart().forEach(this::addPartCrash);
        digestClearances.onPublished(record.clearedByDigest(), own);
        partClearances.onPublished(record.clearedByPart(), own);
        if (own) {
            record.endpointsByDigest().forEach(publishedDigests::add);
            record.confirmedByDigest().forEach(publishedConfirmations::add);
            record.endpointsByPart().forEach(publishedParts::add);
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
