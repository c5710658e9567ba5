package baobabcroft.instance;

import baobabcroft.directory.EndpointEntry;
import baobabcroft.replica.StoreEntry;
import baobabcroft.replica.StoreRevision;
import baobabcroft.rollout.RolloutOrder;
import baobabcroft.rollout.RolloutStage;
import baobabcroft.routing.RoutingTable;
import java.util.Optional;

/** Receives what the keys of the store contain, in the router's types. */
public interface StoreDocuments {
    /**
     * Receives the operators' configuration.
     *
     * @param table the configuration
     */
    void onConfiguration(RoutingTable table);

    /**
     * Receives the entry of an endpoint.
     *
     * @param entry the entry
     * @param reportNumber number of the endpoint's report, which grows within one incarnation; 0 if unknown
     */
    void onEndpointListed(EndpointEntry entry, long reportNumber);

    /**
     * Receives how much longer an endpoint stays cold, after its entry was received.
     *
     * @param entry the endpoint
     * @param remainingMillis time for which it stays cold, in milliseconds; 0 if it is warm
     */
    void onWarmUp(EndpointEntry entry, long remainingMillis);

    /**
     * Receives an operator's order to send nothing to the endpoints of a failure domain, or its end.
     *
     * @param failureDomain name of the failure domain
     * @param ordered whether the order is in force
     */
    void onEvacuation(String failureDomain, boolean ordered);

    /**
     * Called when an endpoint's entry was deleted or names no usable endpoint.
     *
     * @param id id of the endpoint
     */
    void onEndpointUnlisted(String id);

    /**
     * Receives an operator's order to roll out a version.
     *
     * @param order the order
     */
    void onRolloutOrder(RolloutOrder order);

    /**
     * Receives the status of a rollout, as written for operators.
     *
     * @param service name of the service
     * @param stage the stage, {@link RolloutStage#HOLDING} for all that are not final; empty if it is unreadable
     * @param target version that the status is about
     * @param revision revision of the status
     */
    void onRolloutStatus(String service, Optional<RolloutStage> stage, String target, StoreRevision revision);

    /**
     * Receives a key that the platform does not define.
     *
     * @param entry the key with its value
     */
    void onOtherKey(StoreEntry entry);

    /**
     * Called when a key that the platform does not define was deleted.
     *
     * @param key the key
     */
    void onOtherKeyDeleted(String key);
}
