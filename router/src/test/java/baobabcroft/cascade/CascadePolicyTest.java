package baobabcroft.cascade;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import baobabcroft.fake.VirtualTime;
import baobabcroft.rules.VersionId;
import java.util.List;
import java.util.OptionalInt;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

final class CascadePolicyTest {
    private static final double TARGET = 0.75;
    private static final VersionId SMALL = new VersionId("small", "1");
    private static final RequestKind KIND = RequestKind.of("a", "c", 300);

    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(7);
    private final QualityLedger ledger = QualityLedger.create("i");

    private long share(int step, double smallRating, int ratings) {
        for (int i = 0; i < ratings; i++) {
            ledger.addRating(SMALL, KIND, smallRating + (i % 2 == 0 ? 0.1 : -0.1), TARGET);
        }
        List<CascadeStep> steps = List.of(
                new CascadeStep(SMALL, 100, 0.7, ledger.total(SMALL, KIND)),
                new CascadeStep(new VersionId("large", "1"), 1_000, 0.9, QualityEvidence.NONE));
        CascadePolicy policy = CascadePolicies.qualityPrice();
        long chosen = 0;
        for (int i = 0; i < 100; i++) {
            chosen += policy.choose(KIND, steps, TARGET, random).step() == step ? 1 : 0;
        }
        return chosen;
    }

    @Test
    void staysWithTheDearVersionUntilRatingsShowThatTheCheapOneMeetsTheTarget() {
        assertTrue(share(1, 0.7, 0) >= 85);
        assertEquals(100, share(0, 0.85, 60));
    }

    @Test
    void stopsExploringAVersionThatCannotMeetTheTarget() {
        assertEquals(100, share(1, 0.5, 60));
    }

    @Test
    void escalatesShortAnswersWhileTheDeadlineAllows() {
        CascadeChoice choice = new CascadeChoice(0, true, TARGET);
        assertEquals(OptionalInt.of(1), choice.escalate(0, 2, 0.5, 1_000, 500));
        assertEquals(OptionalInt.empty(), choice.escalate(0, 2, 0.5, 400, 500));
        assertEquals(OptionalInt.empty(), choice.escalate(0, 2, 0.8, 1_000, 500));
        assertEquals(OptionalInt.empty(), choice.escalate(1, 2, 0.5, 1_000, 500));
    }

    @Test
    void ratingsOfOneOriginCountOnce() {
        QualityReport report = new QualityReport("j", SMALL, KIND, QualityEvidence.of(0.5, TARGET));
        ledger.merge(report);
        ledger.merge(report);
        assertEquals(1, ledger.total(SMALL, KIND).ratings());
    }

    @Test
    void theBudgetBoundsRatings() {
        VirtualTime time = new VirtualTime();
        RatingBudget budget = RatingBudget.create(2, 1, time.ticker());
        assertTrue(budget.tryTake());
        assertFalse(budget.tryTake());
        time.advance(500);
        assertTrue(budget.tryTake());
    }
}
