package baobabcroft.directory;

import java.util.HashSet;
import java.util.Set;

/** The failure domains whose endpoints get no requests because operators have ordered it. Not thread-safe. */
public final class EvacuatedDomains {
    private final Set<String> names = new HashSet<>();

    /** Creates an object without orders. */
    public EvacuatedDomains() {}

    /**
     * Starts the evacuation of a failure domain.
     *
     * @param failureDomain name of the failure domain
     * @return whether it was not evacuated before
     */
    public boolean add(String failureDomain) {
        return names.add(failureDomain);
    }

    /**
     * Ends the evacuation of a failure domain.
     *
     * @param failureDomain name of the failure domain
     * @return whether it was evacuated before
     */
    public boolean remove(String failureDomain) {
        return names.remove(failureDomain);
    }

    /**
     * Returns whether a failure domain is evacuated.
     *
     * @param failureDomain name of the failure domain
     * @return whether its endpoints get no requests
     */
    public boolean contains(String failureDomain) {
        return names.contains(failureDomain);
    }

    /**
     * Returns the number of evacuated failure domains.
     *
     * @return the number
     */
    public int size() {
        return names.size();
    }
}
