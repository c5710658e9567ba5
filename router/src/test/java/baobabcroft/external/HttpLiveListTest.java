package baobabcroft.external;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import com.google.common.net.HostAndPort;
import java.util.List;
import org.junit.jupiter.api.Test;

final class HttpLiveListTest {
    private static final String ENTRY =
            "{\"targets\":[\"127.0.0.1:7021\"],\"labels\":{\"name\":\"a\",\"role\":\"instance\","
                    + "\"state\":\"leaving\",\"failure_domain\":\"zagreb-a\"}}";

    @Test
    void parsesTargetGroupsWithTheirLabels() {
        assertEquals(
                new LiveListResult.Listed(List.of(new LiveEntry(
                        "a",
                        LiveEntry.Role.INSTANCE,
                        LiveEntry.State.LEAVING,
                        "zagreb-a",
                        HostAndPort.fromParts("127.0.0.1", 7021)))),
                HttpLiveList.parse("[" + ENTRY + "]"));
    }

    @Test
    void isUnavailableWhenOneEntryIsInvalid() {
        String invalid = ENTRY.replace("leaving", "asleep");

        assertInstanceOf(LiveListResult.Unavailable.class, HttpLiveList.parse("[" + ENTRY + "," + invalid + "]"));
    }

    @Test
    void isUnavailableWhenTheBodyIsNotJson() {
        assertInstanceOf(LiveListResult.Unavailable.class, HttpLiveList.parse("<html>"));
    }
}
