package baobabcroft.rollout;

import baobabcroft.routing.AllowedRegions;
import baobabcroft.routing.Route;
import baobabcroft.routing.RouteKind;
import baobabcroft.routing.RouteTarget;
import com.google.common.collect.ImmutableList;

/** Routes for tests of rollouts. */
final class RolloutRoutes {
    static final long GOAL_MILLIS = 2_000;

    private RolloutRoutes() {}

    /** Returns a route of streams with a goal of two seconds. */
    static Route streaming(String name, String service) {
        return new Route(
                name,
                "shop.example",
                "/" + name + "/",
                RouteKind.STREAMING,
                20_000,
                GOAL_MILLIS,
                1,
                3,
                800,
                false,
                true,
                ImmutableList.of(),
                ImmutableList.of(new RouteTarget(service, 1)),
                AllowedRegions.ALL);
    }
}
