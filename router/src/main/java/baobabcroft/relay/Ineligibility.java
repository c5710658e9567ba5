package baobabcroft.relay;

import java.util.Locale;

/** Why an endpoint must not get a request. */
public enum Ineligibility {
    /** The request's route or client account does not allow the endpoint's region. */
    REGION_NOT_ALLOWED,
    /** Operators have ordered the evacuation of the endpoint's failure domain. */
    EVACUATED,
    /** The endpoint is shutting down. */
    LEAVING,
    /** The endpoint wants no requests for some time. */
    PAUSED,
    /** This instance has no part left of what the endpoint takes from all instances. */
    LIMIT_REACHED,
    /** The endpoint falls over if it has to reject more requests. */
    BRITTLE,
    /** The endpoint has started or recovered, and this instance has no part left of its pace. */
    PACED,
    /** The request does not fit into the endpoint's memory beside those that it holds. */
    MEMORY_FULL;

    /**
     * Returns the name of the reason in metrics and log lines.
     *
     * @return lower-case words joined by underscores
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
