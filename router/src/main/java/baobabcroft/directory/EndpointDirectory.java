package baobabcroft.directory;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** The endpoints listed at present, by service. Not thread-safe. */
public final class EndpointDirectory {
    private final Map<String, EndpointEntry> byId = new HashMap<>();
    private final Map<String, Map<String, EndpointEntry>> byService = new HashMap<>();

    /** Creates an empty directory. */
    public EndpointDirectory() {}

    /**
     * Takes an endpoint's newest entry.
     *
     * @param entry the entry
     */
    public void put(EndpointEntry entry) {
        remove(entry.id());
        byId.put(entry.id(), entry);
        byService
                .computeIfAbsent(entry.service(), service -> new LinkedHashMap<>())
                .put(entry.id(), entry);
    }

    /**
     * Forgets an endpoint.
     *
     * @param id its identity
     */
    public void remove(String id) {
        EndpointEntry former = byId.remove(id);
        if (former != null) {
            byService.get(former.service()).remove(id);
        }
    }

    /**
     * Returns an endpoint's entry.
     *
     * @param id its identity
     * @return the entry, or empty if it is not listed
     */
    public Optional<EndpointEntry> find(String id) {
        return Optional.ofNullable(byId.get(id));
    }

    /**
     * Returns the endpoints of a service that take new requests.
     *
     * @param service name of the service
     * @return the entries, without those that are leaving
     */
    public ImmutableList<EndpointEntry> accepting(String service) {
        return byService.getOrDefault(service, Map.of()).values().stream()
                .filter(entry -> !entry.leaving())
                .collect(ImmutableList.toImmutableList());
    }

    /**
     * Returns how many endpoints are listed.
     *
     * @return the count, with those that are leaving
     */
    public int size() {
        return byId.size();
    }

    /**
     * Returns the identities listed.
     *
     * @return a copy
     */
    public ImmutableList<String> ids() {
        return ImmutableList.copyOf(byId.keySet());
    }
}
