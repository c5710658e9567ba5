package baobabcroft.instance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import baobabcroft.fake.VirtualTime;
import com.google.common.collect.ImmutableSet;
import org.junit.jupiter.api.Test;

class FleetMembersTest {
    private static final long REMOVAL_DELAY_MILLIS = 4_000;

    private final VirtualTime time = new VirtualTime();
    private final FleetMembers members = new FleetMembers("a", time.scheduler(), REMOVAL_DELAY_MILLIS);

    /** Guards against LIMIT: fewer instances would each take a larger part while the others still send. */
    @Test
    void staysAsItIsWhileTheStoreLacksItsNewestKeys() {
        members.add("b");
        members.remove("b");
        time.advance(REMOVAL_DELAY_MILLIS - 1);
        members.add("b");
        time.advance(REMOVAL_DELAY_MILLIS);

        assertEquals(ImmutableSet.of("a", "b"), members.names());
    }

    @Test
    void losesInstancesThatAreNotPublishedAgain() {
        members.add("b");
        members.remove("b");
        members.remove("b");
        members.remove("unknown");
        time.advance(REMOVAL_DELAY_MILLIS);

        assertEquals(ImmutableSet.of("a"), members.names());
    }

    @Test
    void isTheSameObjectUntilItChanges() {
        members.add("b");
        ImmutableSet<String> before = members.names();
        members.add("b");

        assertSame(before, members.names());
    }
}
