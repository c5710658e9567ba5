package baobabcroft.pace;

import baobabcroft.directory.EndpointEntry;
import baobabcroft.load.PeerLoads;

/** What instances have seen of endpoints of late. */
public interface EndpointEvidence {
    /**
     * Returns the failure rate of an endpoint as seen by other instances.
     *
     * @param endpoint the endpoint
     * @return the share of failed requests, from 0 to 1
     */
    double reportedFailureRate(EndpointEntry endpoint);

    /**
     * Returns the load, the failures and the delays of an endpoint as seen by all instances, including this one.
     *
     * @param endpoint the endpoint
     * @return the combined load
     */
    PeerLoads.Load seenByAll(EndpointEntry endpoint);
}
