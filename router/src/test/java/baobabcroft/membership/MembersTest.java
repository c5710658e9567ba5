package baobabcroft.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class MembersTest {
    private static final long LAG = 100;

    private static Members stableMembers() {
        Members members = Members.create(LAG, 0);
        members.updateListed(Set.of("a", "b", "c"), 0);
        members.recordStoreRead(2 * LAG);
        members.updateListed(Set.of("a", "b", "c"), 2 * LAG);
        return members;
    }

    @Test
    void majorityOfAStableListIsMoreThanHalf() {
        assertEquals(new Quorum(Set.of("a", "b", "c"), 2), stableMembers().authorityQuorum());
    }

    @Test
    void baseDoesNotShrinkUntilAStoreReadAfterTheLag() {
        Members members = stableMembers();
        members.updateListed(Set.of("a"), 10 * LAG);
        assertEquals(Set.of("a", "b", "c"), members.authorityQuorum().members());

        members.recordStoreRead(11 * LAG + 1);
        assertEquals(Set.of("a"), members.authorityQuorum().members());
    }

    @Test
    void recentMembersRaiseTheQuorumUntilAStoreReadAfterTheLag() {
        Members members = stableMembers();
        members.updateListed(Set.of("a", "b", "c", "d"), 10 * LAG);
        assertEquals(3, members.authorityQuorum().size());
        assertEquals(3, members.acceptanceQuorum(10 * LAG).size());

        members.updateListed(Set.of("a", "b", "c", "d", "e", "f", "g"), 10 * LAG);
        assertEquals(6, members.authorityQuorum().size());

        members.recordStoreRead(12 * LAG);
        assertEquals(4, members.authorityQuorum().size());
    }

    @Test
    void newInstanceHasNoQuorumAloneAndAllMembersSufficeForAcceptance() {
        Members members = Members.create(LAG, 0);
        members.updateListed(Set.of("a"), 0);

        assertFalse(members.authorityQuorum().isMetBy(Set.of("a")));
        assertTrue(members.acceptanceQuorum(0).isMetBy(Set.of("a")));
    }

    @Test
    void adoptedBaseIncludesRecentAndUnlistedInstances() {
        Members members = Members.create(LAG, 0);
        members.updateListed(Set.of("c", "d", "e"), 0);
        List<KnownInstance> known = List.of(
                new KnownInstance("a", false),
                new KnownInstance("b", false),
                new KnownInstance("c", false),
                new KnownInstance("d", true));
        members.adopt(known, 10);
        members.adopt(List.of(new KnownInstance("d", false)), 20);

        assertEquals(new Quorum(Set.of("a", "b", "c", "d", "e"), 4), members.authorityQuorum());
    }
}
