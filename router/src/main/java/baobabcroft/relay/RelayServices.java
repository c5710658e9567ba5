package baobabcroft.relay;

import baobabcroft.common.Scheduler;
import baobabcroft.directory.EndpointDirectory;
import baobabcroft.fairness.FairAdmission;
import baobabcroft.memory.MemoryBudget;
import baobabcroft.retry.RetryBudget;
import baobabcroft.routing.RoutingTableHolder;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Services that all relayed requests of an instance share.
 *
 * @param nowMillis monotonic clock, in milliseconds
 * @param scheduler runs timers on the requests' thread
 * @param random source of weighted choices and jitter
 * @param dialect translates headers
 * @param routing holds the current routing table
 * @param directory the listed endpoints
 * @param loads state of the endpoints
 * @param memory memory of the instance, which answers and streams take from
 * @param availability what endpoints have stated about taking requests
 * @param eligibility decides which endpoints a request may use
 * @param fairness decides which client accounts may use services whose endpoints are full
 * @param pauseQueue requests that wait until endpoints have ended a pause
 * @param endpointChooser chooses endpoints
 * @param modelChooser chooses models
 * @param retryBudgets returns the retry budget of a service by its name
 * @param versionSelector selects the endpoint versions that a request may use
 * @param poisonDetector tracks requests that have crashed endpoints
 * @param transport sends requests to endpoints
 * @param plannedStop what the planned stop of the instance means for requests
 * @param listener notified of each step of a request
 * @param forwarding the way by other instances, if this one does not reach the endpoints
 */
public record RelayServices(
        LongSupplier nowMillis,
        Scheduler scheduler,
        UniformRandomProvider random,
        RequestDialect dialect,
        RoutingTableHolder routing,
        EndpointDirectory directory,
        EndpointLoads loads,
        MemoryBudget memory,
        EndpointAvailability availability,
        EndpointEligibility eligibility,
        FairAdmission fairness,
        PauseQueue pauseQueue,
        EndpointChooser endpointChooser,
        ModelChooser modelChooser,
        Function<String, RetryBudget> retryBudgets,
        VersionSelector versionSelector,
        PoisonDetector poisonDetector,
        EndpointTransport transport,
        PlannedStop plannedStop,
        RelayListener listener,
        PeerForwarding forwarding) {}
