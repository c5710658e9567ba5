package baobabcroft.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import baobabcroft.membership.HeartbeatPlan.Place;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

class HeartbeatPlanTest {
    private static Map<String, Place> places(int size) {
        Map<String, Place> places = new HashMap<>();
        for (int i = 0; i < size; i++) {
            places.put("i-" + i, new Place("fd-" + i % 4, "r-" + i % 2, i < 6));
        }
        return places;
    }

    @Test
    void allMembersAreSelectedUpToTheLimit() {
        ImmutableSet<String> targets =
                HeartbeatPlan.of("i-0", 1, 1, 1).targets(places(HeartbeatPlan.FULL_MESH_MEMBERS), new Random(1));

        assertEquals(HeartbeatPlan.FULL_MESH_MEMBERS - 1, targets.size());
        assertFalse(targets.contains("i-0"));
    }

    @Test
    void beyondTheLimitNearFarAndWatchingInstancesAreSelected() {
        Map<String, Place> places = places(100);
        ImmutableSet<String> targets = HeartbeatPlan.of("i-40", 3, 0, 1).targets(places, new Random(1));

        long near = targets.stream()
                .filter(name -> places.get(name).failureDomain().equals("fd-0"))
                .filter(name -> !places.get(name).watchesStore())
                .count();
        assertEquals(3, near);
        assertEquals(
                2,
                targets.stream().filter(name -> places.get(name).watchesStore()).count());
    }
}
