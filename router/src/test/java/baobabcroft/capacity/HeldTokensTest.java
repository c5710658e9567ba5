package baobabcroft.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class HeldTokensTest {
    private final HeldTokens held = HeldTokens.create();

    private static TokenNeed need(String model, String part, long ownTokens) {
        return TokenNeed.builder(model).addShared(part, 6_000).build(ownTokens);
    }

    /** Guards against engines that are left half empty, as requests with the same shared part are counted in full. */
    @Test
    void sharedPartCountsOnceUntilItsLastRequestEnds() {
        HeldTokens.Hold first = held.hold(need("small", "manual", 100));
        HeldTokens.Hold second = held.hold(need("small", "manual", 200));
        assertEquals(6_300, held.tokens());
        first.release();
        first.release();
        assertEquals(6_200, held.tokens());
        second.release();
        assertEquals(0, held.tokens());
    }

    /** Guards against a request that is taken to share memory with one to another model or with another beginning. */
    @Test
    void partIsSharedOnlyByEqualBeginningsOfOneModel() {
        held.hold(need("small", "manual", 100));
        TokenNeed laterPart = TokenNeed.builder("small")
                .addShared("preface", 500)
                .addShared("manual", 6_000)
                .build(0);

        assertEquals(50, held.addedTokens(need("small", "manual", 50)));
        assertEquals(6_050, held.addedTokens(need("large", "manual", 50)));
        assertEquals(6_500, held.addedTokens(laterPart));
    }

    /** Guards against a request of almost the whole memory that no engine ever takes. */
    @Test
    void emptyEngineTakesAnyRequestUpToItsMemory() {
        assertTrue(TokenMemory.fits(300_000, 0, 300_000));
        assertFalse(TokenMemory.fits(300_000, 0, 300_001));
        assertFalse(TokenMemory.fits(300_000, 10_000, 285_000));
    }
}
