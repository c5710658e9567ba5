package baobabcroft.replica;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ComparisonChain;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * The rank of an instance among those that its failure domain may follow. Instances with fast links come first, because
 * a source sends everything to all others of the domain; a hash of the name decides between equal ones.
 *
 * @param instance name of the instance
 * @param linkMegabitsPerSecond rate of its network link; 0 if unknown
 */
record SourceRank(String instance, double linkMegabitsPerSecond) implements Comparable<SourceRank> {
    SourceRank {
        checkArgument(
                linkMegabitsPerSecond >= 0,
                "linkMegabitsPerSecond negative or not a number: %s",
                linkMegabitsPerSecond);
    }

    @Override
    public int compareTo(SourceRank other) {
        return ComparisonChain.start()
                .compare(other.linkMegabitsPerSecond, linkMegabitsPerSecond)
                .compare(hash(instance), hash(other.instance))
                .compare(instance, other.instance)
                .result();
    }

    private static int hash(String name) {
        return Hashing.murmur3_32_fixed()
                .hashString(name, StandardCharsets.UTF_8)
                .asInt();
    }
}
