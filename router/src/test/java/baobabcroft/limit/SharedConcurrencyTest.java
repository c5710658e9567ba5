package baobabcroft.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableSet;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class SharedConcurrencyTest {
    /** Guards against LIMIT: parts that add up to more make an endpoint reject requests. */
    @Property(tries = 200, seed = "20261204")
    void partsAddUpToTheTotalAndDifferByOneAtTheMost(
            @ForAll @IntRange(min = 1, max = 300) int instances, @ForAll @IntRange(min = 0, max = 500) int total) {
        ImmutableSet<String> names =
                IntStream.range(0, instances).mapToObj(i -> "instance-" + i).collect(ImmutableSet.toImmutableSet());
        int sum = 0;
        int holders = 0;
        for (String name : names) {
            SharedConcurrency share = SharedConcurrency.create(7, new FleetView(name, () -> names));
            int part = share.part(total);
            assertTrue(part == total / instances || part == total / instances + 1, "part " + part);
            assertEquals(part > 0, share.holders(total).contains(name));
            sum += part;
            holders += part > 0 ? 1 : 0;
        }

        assertEquals(total, sum);
        assertEquals(Math.min(total, instances), holders);
    }
}
