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
 * Finds out whether an endpoint died of a request, and stops requests of which several have died.
 *
 * <p>A lost connection alone is no death: the endpoint is asked once more, and only if it takes no connection does the
 * loss count. Thread-safe.
 */
final class CrashWatch {
    private static final long PROBE_TIMEOUT_MILLIS = 300;

    private final EventLog log = EventLog.of(CrashWatch.class);
    private final CrashLedger ledger;
    private final EndpointClient client;
    private final InstantSource wallClock;
    private final Consumer<Crash> announce;

    CrashWatch(CrashLedger ledger, EndpointClient client, InstantSource wallClock, Consumer<Crash> announce) {
        this.ledger = checkNotNull(ledger);
        this.client = checkNotNull(client);
        this.wallClock = checkNotNull(wallClock);
        this.announce = checkNotNull(announce);
    }

    /** Throws {@code poison_request}, not run, if the request is known to make endpoints fail. */
    void refusePoison(String bodyDigest) {
        if (ledger.isPoison(bodyDigest, wallClock.millis())) {
            throw RouterException.notRun(
                    ErrorCode.POISON_REQUEST, "this request made several endpoints fail and is not run again");
        }
    }

    /** Completes once it is known whether the endpoint is gone; records and announces the crash if so. */
    CompletionStage<Void> connectionLost(String bodyDigest, EndpointRule endpoint) {
        HttpRequest probe = HttpRequest.GET("/healthz");
        return client.send(new EndpointCall(endpoint.address(), probe, false, PROBE_TIMEOUT_MILLIS))
                .thenAccept(reply -> {
                    if (reply instanceof EndpointResult.Failed failed
                            && failed.kind() == EndpointResult.Kind.NOT_CONNECTED) {
                        record(bodyDigest, endpoint);
                    }
                });
    }

    private void record(String bodyDigest, EndpointRule endpoint) {
        Crash crash = new Crash(bodyDigest, endpoint.name(), wallClock.millis());
        ledger.add(crash);
        announce.accept(crash);
        if (ledger.isPoison(bodyDigest, wallClock.millis())) {
            log.log(LogEvent.POISON_REQUEST_STOPPED, bodyDigest, endpoint.name());
        }
    }
}
