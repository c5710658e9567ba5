package baobabcroft.instance;

import baobabcroft.common.Scheduler;
import baobabcroft.directory.EndpointEntry;
import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import baobabcroft.poison.Crash;
import baobabcroft.poison.CrashLedger;
import baobabcroft.relay.CallerRequest;
import baobabcroft.relay.PoisonDetector;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Detects requests that crash endpoints, together with the other instances. A lost connection alone is not a crash: an
 * endpoint counts as crashed if it accepts no new connection shortly afterwards. Not thread-safe.
 */
final class CrashTracker implements PoisonDetector {
    /** Crashed endpoints after which a request is no longer sent; the contract allows three crashes. */
    private static final int POISON_ENDPOINTS = 3;
    /** How long a crash counts: callers retry within minutes. */
    private static final long RETENTION_MILLIS = 600_000;

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
    private final Map<String, Set<String>> digestsByIncarnation = new HashMap<>();
    private final LinkedHashMap<String, List<String>> crashesByDigest = new LinkedHashMap<>();
    private final EventLog log = EventLog.of(CrashTracker.class);
    private boolean publishPending;

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
    public boolean isPoison(CallerRequest request, String account) {
        return !ledger.isEmpty() && ledger.isPoison(digest(request, account), nowMillis.getAsLong());
    }

    @Override
    public void onConnectionLost(CallerRequest request, String account, EndpointEntry endpoint) {
        String incarnation = endpoint.id() + '#' + endpoint.startedAtEpochMillis();
        Set<String> digests = digestsByIncarnation.get(incarnation);
        if (digests == null) {
            digests = new HashSet<>();
            digestsByIncarnation.put(incarnation, digests);
            scheduler.schedule(
                    PROBE_DELAY_MILLIS,
                    () -> acceptsConnections.accept(endpoint, alive -> onProbed(incarnation, alive)));
        }
        digests.add(digest(request, account));
    }

    private void onProbed(String incarnation, boolean alive) {
        Set<String> digests = digestsByIncarnation.remove(incarnation);
        if (alive || digests == null) {
            return;
        }
        log.log(LogEvent.ENDPOINT_CRASHED, incarnation, digests.size());
        for (String digest : digests) {
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

    private static String digest(CallerRequest request, String account) {
        Hasher hasher = Hashing.murmur3_128().newHasher();
        hasher.putString(request.method() + ' ' + request.target() + ' ' + account, StandardCharsets.UTF_8);
        return hasher.putBytes(request.body()).hash().toString();
    }
}
