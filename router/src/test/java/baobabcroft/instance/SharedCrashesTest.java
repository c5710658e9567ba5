package baobabcroft.instance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.directory.EndpointEntry;
import baobabcroft.fake.VirtualTime;
import baobabcroft.relay.CallerRequest;
import baobabcroft.relay.Headers;
import com.google.common.net.HostAndPort;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SharedCrashesTest {
    private static final long SETTLED_MILLIS = 1_000;

    private final VirtualTime time = new VirtualTime();
    private final List<CrashNotice> told = new ArrayList<>();
    private boolean accepts;
    private final SharedCrashes crashes =
            new SharedCrashes(time.scheduler(), time::nowMillis, (endpoint, then) -> then.accept(accepts), told::add);

    private static CallerRequest request(String body) {
        return new CallerRequest("POST", "/chat/1", "h", Headers.EMPTY, body.getBytes(StandardCharsets.UTF_8));
    }

    private static EndpointEntry endpoint(String id) {
        return new EndpointEntry(id, "chat", HostAndPort.fromParts("127.0.0.1", 1), "here", "v1", 4, false, 1);
    }

    private void lose(String body, String endpoint) {
        crashes.onConnectionLost(request(body), "kamera", endpoint(endpoint));
        time.advance(SETTLED_MILLIS);
    }

    @Nested
    class Confirmation {
        /** Pattern: answers are lost by resets while the endpoint lives on. */
        @Test
        void takesALostConnectionOfALiveEndpointForNoCrash() {
            accepts = true;
            for (int i = 0; i < 10; i++) {
                lose("body", "e-" + i);
            }

            assertFalse(crashes.isPoison(request("body"), "kamera"));
            assertTrue(told.isEmpty());
        }

        @Test
        void stopsARequestUnderWhichThreeEndpointsDied() {
            lose("body", "e-1");
            lose("body", "e-2");
            assertFalse(crashes.isPoison(request("body"), "kamera"));
            lose("body", "e-3");

            assertTrue(crashes.isPoison(request("body"), "kamera"));
        }

        @Test
        void countsOneDeathOnceHoweverManyConnectionsItCost() {
            for (int i = 0; i < 5; i++) {
                lose("body", "e-1");
            }

            assertFalse(crashes.isPoison(request("body"), "kamera"));
        }
    }

    @Nested
    class Identity {
        @Test
        void leavesOtherBodiesAndAccountsAlone() {
            for (int i = 0; i < 3; i++) {
                lose("body", "e-" + i);
            }

            assertFalse(crashes.isPoison(request("other"), "kamera"));
            assertFalse(crashes.isPoison(request("body"), "someone"));
        }
    }

    @Nested
    class Sharing {
        /** Pattern: the caller comes again at other instances, each of which sees one endpoint die. */
        @Test
        void countsWhatOtherInstancesSaw() {
            List<CrashNotice> heard = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                SharedCrashes other = new SharedCrashes(
                        time.scheduler(), time::nowMillis, (endpoint, then) -> then.accept(false), heard::add);
                other.onConnectionLost(request("body"), "kamera", endpoint("e-" + i));
                time.advance(SETTLED_MILLIS);
            }
            heard.forEach(crashes::heard);

            assertEquals(3, heard.size());
            assertTrue(crashes.isPoison(request("body"), "kamera"));
        }
    }
}
