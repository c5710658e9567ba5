package baobabcroft.limit;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;

/** The instances in an order by hash, which differs from subject to subject and is the same at all instances. */
final class InstanceRanking {
    private static final HashFunction HASH = Hashing.murmur3_128();

    private final long subject;
    private final FleetView fleet;
    private long rotation;
    private ImmutableSet<String> rankedInstances = ImmutableSet.of();
    private long rankedRotation;
    private ImmutableList<String> ranked = ImmutableList.of();

    InstanceRanking(long subject, FleetView fleet) {
        this.subject = subject;
        this.fleet = checkNotNull(fleet);
    }

    /** Changes the order to another one. */
    void setRotation(long newRotation) {
        rotation = newRotation;
    }

    /** Returns the names of the instances in their order; this one is among them. */
    ImmutableList<String> ranked() {
        ImmutableSet<String> all = fleet.instances().get();
        if (!all.equals(rankedInstances) || rotation != rankedRotation || ranked.isEmpty()) {
            rankedInstances = all;
            rankedRotation = rotation;
            ranked = ImmutableList.sortedCopyOf(
                    Comparator.comparingLong(this::hash).thenComparing(Comparator.naturalOrder()),
                    ImmutableSet.<String>builder()
                            .addAll(all)
                            .add(fleet.instance())
                            .build());
        }
        return ranked;
    }

    /** Returns the number of instances before this one. */
    int rank() {
        return ranked().indexOf(fleet.instance());
    }

    private long hash(String name) {
        return HASH.newHasher()
                .putLong(subject)
                .putLong(rotation)
                .putString(name, StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }
}
