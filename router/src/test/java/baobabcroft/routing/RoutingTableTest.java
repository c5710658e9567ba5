package baobabcroft.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class RoutingTableTest {
    private static final String HOST = "shop.example";

    private final RoutingTable table = RoutingTable.of(
            1,
            ImmutableList.of(
                    route("orders", "/orders/"),
                    route("open", "/orders/open/"),
                    route("stock", "/s/"),
                    route("twice", "/s//")),
            ImmutableMap.of(),
            CallerLimits.DEFAULT,
            ImmutableMap.of(),
            false);

    private static Route route(String name, String pathPrefix) {
        return new Route(
                name,
                "Shop.Example",
                pathPrefix,
                RouteKind.IDEMPOTENT,
                1_000,
                500,
                1,
                1,
                0,
                true,
                false,
                ImmutableList.of(),
                ImmutableList.of(new RouteTarget("work", 1)),
                AllowedRegions.ALL);
    }

    private Optional<String> routeOf(String host, String path) {
        return table.find(host, path).map(Route::name);
    }

    @Nested
    class Routes {
        private static final int LONG_PATH_BYTES = 4 << 20;
        private static final long STALL_SECONDS = 60;

        @ParameterizedTest
        @CsvSource({
            "/orders/, orders",
            "/orders/7, orders",
            "/orders/open, orders",
            "/orders/open/, open",
            "/orders/open/7/8, open",
            "/orders//open/, orders",
            "/s/a/b/c/, stock",
            "/s//a, twice"
        })
        void areFoundByTheLongestPrefix(String path, String name) {
            assertEquals(Optional.of(name), routeOf(HOST, path));
        }

        @ParameterizedTest
        @ValueSource(strings = {"/orders", "/", "", "/other/orders/"})
        void areNotFoundByOtherPaths(String path) {
            assertEquals(Optional.empty(), routeOf(HOST, path));
        }

        @Test
        void areNotFoundAtOtherHosts() {
            assertEquals(Optional.of("orders"), routeOf("SHOP.example", "/orders/7"));
            assertEquals(Optional.empty(), routeOf("other.example", "/orders/7"));
        }

        // Guards against a process that a few callers keep busy with long paths: one look-up for each slash of a path.
        @Test
        @Timeout(value = STALL_SECONDS, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
        void areFoundWithoutALookUpForEachSlash() {
            assertEquals(Optional.of("orders"), routeOf(HOST, "/orders/" + "/".repeat(LONG_PATH_BYTES)));
        }
    }
}
