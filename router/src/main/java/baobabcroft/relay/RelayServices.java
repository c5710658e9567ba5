package baobabcroft.relay;

import baobabcroft.common.Scheduler;
import baobabcroft.directory.EndpointDirectory;
import baobabcroft.retry.RetryBudget;
import baobabcroft.routing.RoutingTableHolder;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * What relayed requests share.
 *
 * @param nowMillis steady clock, in milliseconds
 * @param scheduler runs timers on the requests' thread
 * @param random draws and jitter
 * @param dialect the words of the wire
 * @param routing the routing table in force
 * @param directory the endpoints
 * @param loads what is known of the endpoints
 * @param chooser chooses endpoints
 * @param models chooses models
 * @param budgets the budget of repeated sends of each service
 * @param versions which endpoint versions a session may use
 * @param crashes requests under which endpoints died
 * @param transport sends to endpoints
 * @param journal told of each decision
 */
public record RelayServices(
        LongSupplier nowMillis,
        Scheduler scheduler,
        UniformRandomProvider random,
        RequestDialect dialect,
        RoutingTableHolder routing,
        EndpointDirectory directory,
        EndpointLoads loads,
        EndpointChooser chooser,
        ModelChooser models,
        Function<String, RetryBudget> budgets,
        VersionSelector versions,
        PoisonDetector crashes,
        EndpointTransport transport,
        RelayListener journal) {}
