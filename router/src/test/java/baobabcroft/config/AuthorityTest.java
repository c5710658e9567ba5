package baobabcroft.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.membership.Members;
import baobabcroft.membership.Quorum;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AuthorityTest {
    private static final long FRESHNESS = 100;
    private static final long LAG = 1_000;
    private static final Set<String> FIVE = Set.of("a", "b", "c", "d", "e");

    /** Returns members whose names were listed, and the store read, long before time 0. */
    private static Members stableMembers(Set<String> names) {
        Members members = Members.create(LAG, -10 * LAG);
        members.updateListed(names, -10 * LAG);
        members.recordStoreRead(-LAG);
        return members;
    }

    @Nested
    class Freshness {
        private final Authority authority = new Authority("a", FRESHNESS, stableMembers(FIVE));

        @Test
        void readExpiresAfterTheLifetimeFromItsSendTime() {
            authority.recordApplied(1);
            authority.recordStoreRead(10, 1, 1);

            assertEquals(OptionalLong.of(110), authority.freshUntilNanos(109));
            assertEquals(OptionalLong.empty(), authority.freshUntilNanos(110));
        }

        @Test
        void readOfAGreaterNumberCountsOnceThatNumberIsApplied() {
            authority.recordApplied(1);
            authority.recordStoreRead(10, 1, 2);
            assertEquals(OptionalLong.empty(), authority.freshUntilNanos(20));

            authority.recordApplied(2);
            assertEquals(OptionalLong.of(110), authority.freshUntilNanos(20));
        }

        @Test
        void readOfASmallerNumberThanAppliedAtSendTimeIsIgnored() {
            authority.recordApplied(2);
            authority.recordStoreRead(10, 2, 1);

            assertEquals(OptionalLong.empty(), authority.freshUntilNanos(20));
        }

        @Test
        void majorityExpiresAfterTheLifetimeFromItsOldestRequest() {
            authority.recordApplied(1);
            authority.recordStoreRead(0, 1, 1);
            assertTrue(authority.freshUntilNanos(50).isPresent());
            authority.recordPeerResponse("b", 200, 1);
            authority.recordPeerResponse("c", 210, 1);
            authority.recordPeerResponse("d", 220, 1);

            assertEquals(OptionalLong.of(310), authority.freshUntilNanos(230));
        }

        @Test
        void responsesWithGreaterNumbersOrFromNonMembersDoNotCount() {
            authority.recordApplied(1);
            authority.recordStoreRead(0, 1, 1);
            assertTrue(authority.freshUntilNanos(50).isPresent());
            authority.recordPeerResponse("b", 200, 1);
            authority.recordPeerResponse("c", 200, 2);
            authority.recordPeerResponse("x", 200, 1);

            assertEquals(OptionalLong.empty(), authority.freshUntilNanos(230));
        }

        @Test
        void incarnationWithoutPriorAuthorityDoesNotCountItself() {
            authority.recordApplied(1);
            authority.recordPeerResponse("b", 10, 1);
            authority.recordPeerResponse("c", 10, 1);
            assertFalse(authority.freshUntilNanos(20).isPresent());

            authority.recordPeerResponse("d", 10, 1);
            assertTrue(authority.freshUntilNanos(20).isPresent());
            assertTrue(authority.isEstablished());
        }
    }

    @Nested
    class Acceptance {
        private static final long WAIT = 200;

        private final Confirmations confirmations = new Confirmations();
        private final Quorum quorum = new Quorum(Set.of("a", "b", "c"), 2);

        private boolean accepted(long nowNanos) {
            return confirmations.progress(2, quorum, WAIT, nowNanos).accepted();
        }

        @Test
        void quorumMustHaveAppliedTheNumberAtOneTimeLongEnoughAgo() {
            confirmations.recordResponse("a", 1, 2, 0, 10);
            confirmations.recordResponse("b", 1, 3, 0, 20);
            assertFalse(accepted(1_000));

            confirmations.recordResponse("a", 1, 2, 20, 30);
            confirmations.recordResponse("b", 1, 3, 20, 30);
            assertFalse(accepted(219));
            assertTrue(accepted(220));
        }

        @Test
        void confirmationOfAReplacedIncarnationDoesNotCount() {
            confirmations.recordResponse("a", 1, 2, 0, 10);
            confirmations.recordResponse("b", 1, 2, 15, 20);
            confirmations.recordResponse("b", 1, 2, 100, 110);
            confirmations.recordResponse("a", 2, 1, 100, 110);

            assertFalse(accepted(1_000));
            assertEquals(
                    Set.of("b"), confirmations.progress(2, quorum, WAIT, 1_000).confirmed());
        }
    }
}
