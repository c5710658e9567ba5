package baobabcroft.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.common.ErrorCode;
import baobabcroft.common.RouterException;
import baobabcroft.endpoint.EndpointCall;
import baobabcroft.endpoint.EndpointClient;
import baobabcroft.endpoint.EndpointResult;
import baobabcroft.log.EventLog;
import baobabcroft.log.LogEvent;
import baobabcroft.poison.Crash;
import baobabcroft.poison.CrashLedger;
import baobabcroft.rules.EndpointRule;
import java.time.InstantSource;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.apache.pekko.http.javadsl.model.HttpRequest;

/**
 * Detects endpoints that crash while they handle a request, and rejects requests that have crashed several endpoints.
 *
 * <p>A lost connection alone does not count as a crash. The endpoint is probed once, and the loss counts only if the
 * endpoint does not accept a connection. Thread-safe.
 */
final class CrashDetector {
    private static final long PROBE_TIMEOUT_MILLIS = 300;

    private final EventLog log = EventLog.of(CrashDetector.class);
    private final CrashLedger ledger;
    private final EndpointClient client;
    private final InstantSource wallClock;
    private final Consumer<Crash> crashAnnouncer;

    CrashDetector(CrashLedger ledger, EndpointClient client, InstantSource wallClock, Consumer<Crash> crashAnnouncer) {
        this.ledger = checkNotNull(ledger);
        this.client = checkNotNull(client);
        this.wallClock = checkNotNull(wallClock);
        this.crashAnnouncer = checkNotNull(crashAnnouncer);
    }

    /**
     * Rejects a request that has crashed several endpoints.
     *
     * @throws RouterException with {@code poison_request} and execution status "not run"
     */
    void rejectPoisonRequest(String bodyDigest) {
        if (ledger.isPoison(bodyDigest, wallClock.millis())) {
            throw RouterException.notRun(
                    ErrorCode.POISON_REQUEST, "this request has crashed several endpoints and is not sent again");
        }
    }

    /** Probes an endpoint after a lost connection; records and announces a crash if it does not accept a connection. */
    CompletionStage<Void> probeAfterConnectionLoss(String bodyDigest, EndpointRule endpoint) {
        HttpRequest probe = HttpRequest.GET("/healthz");
        return client.send(new EndpointCall(endpoint.address(), probe, false, PROBE_TIMEOUT_MILLIS))
                .thenAccept(result -> {
                    if (result instanceof EndpointResult.Failed failed
                            && failed.kind() == EndpointResult.Kind.NOT_CONNECTED) {
                        recordCrash(bodyDigest, endpoint);
                    }
                });
    }

    private void recordCrash(String bodyDigest, EndpointRule endpoint) {
        Crash crash = new Crash(bodyDigest, endpoint.name(), wallClock.millis());
        ledger.add(crash);
        crashAnnouncer.accept(crash);
        if (ledger.isPoison(bodyDigest, wallClock.millis())) {
            log.log(LogEvent.POISON_REQUEST_STOPPED, bodyDigest, endpoint.name());
        }
    }
}
