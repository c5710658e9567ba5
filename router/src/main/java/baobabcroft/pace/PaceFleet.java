package baobabcroft.pace;

import static com.google.common.base.Preconditions.checkNotNull;

import baobabcroft.directory.EndpointEntry;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;

/**
 * The instances that share the paces of endpoints, ranked for each endpoint in the same way at all instances: those of
 * its failure domain first, then those of its region, then the others, each in an order by hash. Not thread-safe.
 */
public final class PaceFleet {
    private static final HashFunction HASH = Hashing.murmur3_128();

    private final String self;
    private final Supplier<ImmutableSet<String>> names;
    private final ImmutableMap<String, String> regions;
    private final Map<String, String> domains = new HashMap<>();

    /**
     * Creates a fleet in which only the failure domain of this instance is known.
     *
     * @param self name of this instance
     * @param failureDomain failure domain of this instance
     * @param regions region by failure domain; a failure domain that is not listed is a region of its own
     * @param names supplies the names of all known instances; the same object until they change
     */
    public PaceFleet(
            String self, String failureDomain, Map<String, String> regions, Supplier<ImmutableSet<String>> names) {
        this.self = checkNotNull(self);
        this.names = checkNotNull(names);
        this.regions = ImmutableMap.copyOf(regions);
        domains.put(self, checkNotNull(failureDomain));
    }

    /**
     * Sets the failure domain of an instance. It counts as known only as long as its name is supplied.
     *
     * @param instance name of the instance
     * @param failureDomain its failure domain
     */
    public void putInstance(String instance, String failureDomain) {
        domains.put(checkNotNull(instance), checkNotNull(failureDomain));
    }

    String self() {
        return self;
    }

    /** Returns the names of all known instances; the same object until they change. */
    ImmutableSet<String> names() {
        return names.get();
    }

    /** Returns the names of all known instances and of this one, those that hold shares first. */
    ImmutableList<String> ranked(EndpointEntry endpoint) {
        // The address names the process that requests reach, also while some instances know a former start of it.
        String subject = endpoint.address().toString();
        return ImmutableList.sortedCopyOf(
                Comparator.<String>comparingInt(name -> distance(name, endpoint.failureDomain()))
                        .thenComparingLong(name -> hash(subject, name))
                        .thenComparing(Comparator.naturalOrder()),
                ImmutableSet.<String>builder().addAll(names.get()).add(self).build());
    }

    private int distance(String instance, String endpointDomain) {
        String domain = domains.get(instance);
        if (domain == null) {
            return 2;
        }
        if (domain.equals(endpointDomain)) {
            return 0;
        }
        return regionOf(domain).equals(regionOf(endpointDomain)) ? 1 : 2;
    }

    private String regionOf(String domain) {
        return regions.getOrDefault(domain, domain);
    }

    private static long hash(String subject, String name) {
        return HASH.newHasher()
                .putString(subject, StandardCharsets.UTF_8)
                .putChar('|')
                .putString(name, StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }
}
