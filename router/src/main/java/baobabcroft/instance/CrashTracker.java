package baobabcroft.instance;

import baobabcroft.common.Scheduler;
import baobabcroft.directory.EndpointEntry;
import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import baobabcroft.poison.Crash;
import baobabcroft.poison.CrashLedger;
import baobabcroft.relay.CallerRequest;
import baobabcroft.relay.PoisonDetector;
import baobabcroft.relay.PromptPart;
import baobabcroft.relay.RequestIdentity;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

/**
 * Detects requests that crash endpoints, together with the other instances. A lost connection alone is not a crash: an
 * endpoint counts as crashed if it accepts no new connection shortly afterwards. Not thread-safe.
 */
final class CrashTracker implements PoisonDetector {
    /** Crashed endpoints after which a request is no longer sent; the contract allows three crashes. */
    private static final int POISON_ENDPOINTS = 3;
    /** How long a crash counts: callers retry within minutes. */
    private static final long RETENTION_MILLIS = 600_000;

    /** Prompt parts in one log line. */
    private static final int MAX_LOGGED_PARTS = 20;

    private static final int MAX_REQUESTS = 2_000;
    /** Requests whose crashes are published to the other instances; the newest ones. */
    private static final int MAX_PUBLISHED_REQUESTS = 200;
    /** Delay before an endpoint whose connection was lost is probed for whether it accepts connections. */
    private static final long PROBE_DELAY_MILLIS = 30;
    /** Delay in which crashes are batched before they are published. */
    private static final long PUBLISH_DELAY_MILLIS = 300;

    private final CrashLedger ledger = CrashLedger.create(RETENTION_MILLIS, MAX_REQUESTS, POISON_ENDPOINTS);
    private final Scheduler scheduler;
    private final LongSupplier nowMillis;
    private final BiConsumer<EndpointEntry, Consumer<Boolean>> acceptsConnections;
    private final Consumer<CrashRecord> publisher;
    private final Map<String, LostRequests> lostByIncarnation = new HashMap<>();
    private final LinkedHashMap<String, List<String>> crashesByDigest = new LinkedHashMap<>();
    private final EventLog log = EventLog.of(CrashTracker.class);
    private boolean publishPending;

    /** Requests without output whose connections to one endpoint were lost. */
    private static final class LostRequests {
        private final Set<String> digests = new HashSet<>();
        private final Set<PromptPart> parts = new LinkedHashSet<>();
    }

    CrashTracker(
            Scheduler scheduler,
            LongSupplier nowMillis,
            BiConsumer<EndpointEntry, Consumer<Boolean>> acceptsConnections,
            Consumer<CrashRecord> publisher) {
        this.scheduler = scheduler;
        this.nowMillis = nowMillis;
        this.acceptsConnections = acceptsConnections;
        this.publisher = publisher;
    }

    @Override
    public boolean isPoison(RequestIdentity request) {
        return !ledger.isEmpty() && ledger.isPoison(digest(request), nowMillis.getAsLong());
    }

    @Override
    public void onConnectionLost(RequestIdentity request, EndpointEntry endpoint) {
        String incarnation = endpoint.id() + '#' + endpoint.startedAtEpochMillis();
        LostRequests lost = lostByIncarnation.get(incarnation);
        if (lost == null) {
            lost = new LostRequests();
            lostByIncarnation.put(incarnation, lost);
            scheduler.schedule(
                    PROBE_DELAY_MILLIS,
                    () -> acceptsConnections.accept(endpoint, alive -> onProbed(incarnation, alive)));
        }
        lost.digests.add(digest(request));
        request.prompt().sharedParts().forEach(lost.parts::add);
    }

    private void onProbed(String incarnation, boolean alive) {
        LostRequests lost = lostByIncarnation.remove(incarnation);
        if (alive || lost == null) {
            return;
        }
        log.log(LogEvent.ENDPOINT_CRASHED, incarnation, lost.digests.size(), partIds(lost));
        for (String digest : lost.digests) {
            ledger.add(new Crash(digest, incarnation, nowMillis.getAsLong()));
            remember(digest, incarnation);
        }
        if (!publishPending) {
            publishPending = true;
            scheduler.schedule(PUBLISH_DELAY_MILLIS, this::publish);
        }
    }

    private void publish() {
        publishPending = false;
        publisher.accept(new CrashRecord(Map.copyOf(crashesByDigest)));
    }

    /**
     * Adds the crashes that an instance has published.
     *
     * @param record the published record
     * @param own whether this instance has published it, before a restart or before the store lost a later one
     */
    void onPublished(CrashRecord record, boolean own) {
        record.endpointsByDigest().forEach((digest, endpoints) -> {
            endpoints.forEach(endpoint -> ledger.add(new Crash(digest, endpoint, nowMillis.getAsLong())));
            if (own) {
                endpoints.forEach(endpoint -> remember(digest, endpoint));
            }
        });
    }

    private void remember(String digest, String incarnation) {
        List<String> crashed = crashesByDigest.computeIfAbsent(digest, unused -> new ArrayList<>());
        if (!crashed.contains(incarnation)) {
            crashed.add(incarnation);
        }
        while (crashesByDigest.size() > MAX_PUBLISHED_REQUESTS) {
            var oldest = crashesByDigest.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    private static String partIds(LostRequests lost) {
        return lost.parts.stream().map(PromptPart::id).limit(MAX_LOGGED_PARTS).collect(Collectors.joining(","));
    }

    private static String digest(RequestIdentity identity) {
        CallerRequest request = identity.request();
        Hasher hasher = Hashing.murmur3_128().newHasher();
        hasher.putString(request.method() + ' ' + request.target() + ' ' + identity.account(), StandardCharsets.UTF_8);
        return hasher.putBytes(request.body()).hash().toString();
    }
}
