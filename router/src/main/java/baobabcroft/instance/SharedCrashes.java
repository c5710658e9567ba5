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
 * Finds requests that crash endpoints. A connection that is lost is no crash by itself: the endpoint counts as crashed
 * if it accepts no connection shortly afterwards. Not thread-safe.
 */
final class SharedCrashes implements PoisonDetector {
    /** Endpoints that must have died: the contract allows three crashes before a request must stop. */
    private static final int POISON_ENDPOINTS = 3;
    /** How long a crash counts, in milliseconds: callers come again within minutes. */
    private static final long RETENTION_MILLIS = 600_000;

    private static final int MAX_REQUESTS = 2_000;
    /** Requests told to the other instances; the newest. */
    private static final int MAX_TOLD = 200;
    /** Pause before a lost endpoint is asked whether it still accepts connections, in milliseconds. */
    private static final long CONFIRM_MILLIS = 30;
    /** Pause in which crashes are gathered before they are told, in milliseconds. */
    private static final long TELL_MILLIS = 300;

    private final CrashLedger ledger = CrashLedger.create(RETENTION_MILLIS, MAX_REQUESTS, POISON_ENDPOINTS);
    private final Scheduler scheduler;
    private final LongSupplier nowMillis;
    private final BiConsumer<EndpointEntry, Consumer<Boolean>> acceptsConnections;
    private final Consumer<CrashNotice> teller;
    private final Map<String, Set<String>> suspects = new HashMap<>();
    private final LinkedHashMap<String, List<String>> told = new LinkedHashMap<>();
    private final EventLog log = EventLog.of(SharedCrashes.class);
    private boolean tellPending;

    SharedCrashes(
            Scheduler scheduler,
            LongSupplier nowMillis,
            BiConsumer<EndpointEntry, Consumer<Boolean>> acceptsConnections,
            Consumer<CrashNotice> teller) {
        this.scheduler = scheduler;
        this.nowMillis = nowMillis;
        this.acceptsConnections = acceptsConnections;
        this.teller = teller;
    }

    @Override
    public boolean isPoison(CallerRequest request, String account) {
        return !ledger.isEmpty() && ledger.isPoison(digest(request, account), nowMillis.getAsLong());
    }

    @Override
    public void onConnectionLost(CallerRequest request, String account, EndpointEntry endpoint) {
        String incarnation = endpoint.id() + '#' + endpoint.startedAtEpochMillis();
        Set<String> together = suspects.get(incarnation);
        if (together == null) {
            together = new HashSet<>();
            suspects.put(incarnation, together);
            scheduler.schedule(
                    CONFIRM_MILLIS, () -> acceptsConnections.accept(endpoint, alive -> confirmed(incarnation, alive)));
        }
        together.add(digest(request, account));
    }

    private void confirmed(String incarnation, boolean alive) {
        Set<String> digests = suspects.remove(incarnation);
        if (alive || digests == null) {
            return;
        }
        log.log(LogEvent.ENDPOINT_CRASHED, incarnation, digests.size());
        for (String digest : digests) {
            ledger.add(new Crash(digest, incarnation, nowMillis.getAsLong()));
            told.computeIfAbsent(digest, unused -> new ArrayList<>()).add(incarnation);
        }
        while (told.size() > MAX_TOLD) {
            var oldest = told.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
        if (!tellPending) {
            tellPending = true;
            scheduler.schedule(TELL_MILLIS, this::tell);
        }
    }

    private void tell() {
        tellPending = false;
        teller.accept(new CrashNotice(Map.copyOf(told)));
    }

    /** Takes what another instance has seen. */
    void heard(CrashNotice notice) {
        notice.endpointsByDigest()
                .forEach((digest, endpoints) ->
                        endpoints.forEach(endpoint -> ledger.add(new Crash(digest, endpoint, nowMillis.getAsLong()))));
    }

    private static String digest(CallerRequest request, String account) {
        Hasher hasher = Hashing.murmur3_128().newHasher();
        hasher.putString(request.method() + ' ' + request.target() + ' ' + account, StandardCharsets.UTF_8);
        return hasher.putBytes(request.body()).hash().toString();
    }
}
