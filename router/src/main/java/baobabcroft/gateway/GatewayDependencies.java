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
 * The dependencies of the gateway.
 *
 * @param activeRules supplies the rules for new requests
 * @param outcomeObserver receives the outcome of each chat response with its version
 * @param versionChooser chooses versions for new sessions and requests without a session
 * @param cascades chooses the models of cascade requests
 * @param sessionVersions resolves the versions of sessions
 * @param chargeRecorder records charges
 * @param claims claims non-idempotent requests
 * @param instancePresence detects instances that have terminated
 * @param accountLimits this instance's share of the account limits
 * @param pool the endpoints
 * @param picker chooses among available endpoints
 * @param endpointClient sends requests to endpoints
 * @param crashLedger records endpoint crashes and the requests that caused them
 * @param crashAnnouncer announces a crash to the other instances
 * @param inFlightLimiter limits and counts the requests in progress
 * @param metrics receives the gateway's metrics
 * @param requestLimits limits on request bodies and the default deadline
 * @param random supplies the calling thread's random generator
 * @param requestIds generates request identifiers
 * @param scheduler runs delayed tasks
 * @param ticker the monotonic clock
 * @param wallClock the wall clock
 * @param system the actor system that runs the streams
 */
public record GatewayDependencies(
        ActiveRules activeRules,
        BiConsumer<VersionId, AnswerOutcome> outcomeObserver,
        VersionChooser versionChooser,
        CascadeEvaluator cascades,
        SessionVersionResolver sessionVersions,
        ChargeRecorder chargeRecorder,
        ClaimService claims,
        InstancePresence instancePresence,
        AccountLimits accountLimits,
        EndpointPool pool,
        EndpointPicker picker,
        EndpointClient endpointClient,
        CrashLedger crashLedger,
        Consumer<Crash> crashAnnouncer,
        InFlightLimiter inFlightLimiter,
        RouterMetrics metrics,
        RequestLimits requestLimits,
        Supplier<UniformRandomProvider> random,
        Supplier<String> requestIds,
        Scheduler scheduler,
        Ticker ticker,
        InstantSource wallClock,
        ActorSystem<?> system) {
    /**
     * Limits on request bodies and the default deadline.
     *
     * @param maxBodyBytes maximum length of a request body, in bytes
     * @param bodyReadTimeoutMillis maximum time to receive a request body, in milliseconds
     * @param defaultDeadlineMillis deadline for requests that specify none, in milliseconds after arrival
     */
    public record RequestLimits(long maxBodyBytes, long bodyReadTimeoutMillis, long defaultDeadlineMillis) {}
}
