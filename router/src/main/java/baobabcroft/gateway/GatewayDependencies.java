package baobabcroft.gateway;

import baobabcroft.balance.EndpointPicker;
import baobabcroft.balance.EndpointPool;
import baobabcroft.claim.ClaimService;
import baobabcroft.claim.InstancePresence;
import baobabcroft.common.Scheduler;
import baobabcroft.endpoint.EndpointClient;
import baobabcroft.limit.AccountLimits;
import baobabcroft.metrics.RouterMetrics;
import baobabcroft.poison.Crash;
import baobabcroft.poison.CrashLedger;
import baobabcroft.rollout.AnswerOutcome;
import baobabcroft.rules.VersionId;
import com.google.common.base.Ticker;
import java.time.InstantSource;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.pekko.actor.typed.ActorSystem;

/**
 * What the callers' side of an instance works with.
 *
 * @param rulesInForce the rules for new work
 * @param observeAnswer told how versions answer
 * @param versionChooser chooses versions for new sessions
 * @param cascades decides how cascades answer
 * @param sessions versions that sessions keep
 * @param charges records what requests cost
 * @param claims claims of non-idempotent requests
 * @param presence tells which instances have ended
 * @param limits this instance's share of the accounts' limits
 * @param pool the endpoints
 * @param picker chooses among endpoints
 * @param endpointClient sends requests to endpoints
 * @param crashes requests of which endpoints died
 * @param announceCrash tells the other instances of a crash
 * @param gate counts running requests
 * @param metrics counters
 * @param bounds bounds on requests
 * @param random source of randomness of the calling thread
 * @param requestIds makes identifiers of requests
 * @param scheduler runs what is due later
 * @param ticker the monotonic clock
 * @param wallClock the wall clock
 * @param system runs the streams
 */
public record GatewayDependencies(
        ActiveRules rulesInForce,
        BiConsumer<VersionId, AnswerOutcome> observeAnswer,
        VersionChooser versionChooser,
        CascadeEvaluator cascades,
        SessionVersionResolver sessions,
        ChargeRecorder charges,
        ClaimService claims,
        InstancePresence presence,
        AccountLimits limits,
        EndpointPool pool,
        EndpointPicker picker,
        EndpointClient endpointClient,
        CrashLedger crashes,
        Consumer<Crash> announceCrash,
        InFlightLimiter gate,
        RouterMetrics metrics,
        RequestLimits bounds,
        Supplier<UniformRandomProvider> random,
        Supplier<String> requestIds,
        Scheduler scheduler,
        Ticker ticker,
        InstantSource wallClock,
        ActorSystem<?> system) {
    /**
     * Bounds on requests.
     *
     * @param maxBodyBytes longest body
     * @param bodyReadTimeoutMillis longest time for sending a body, in milliseconds
     * @param defaultDeadlineMillis deadline of a request that names none, in milliseconds
     */
    public record RequestLimits(long maxBodyBytes, long bodyReadTimeoutMillis, long defaultDeadlineMillis) {}
}
