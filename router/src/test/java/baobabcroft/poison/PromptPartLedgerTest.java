package baobabcroft.poison;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class PromptPartLedgerTest {
    private static final long RETENTION_MILLIS = 10_000;

    private final PromptPartLedger ledger = PromptPartLedger.create(RETENTION_MILLIS, 10);

    private void crash(String part, int from, int until) {
        for (int i = from; i < until; i++) {
            ledger.addCrash(part, "e-" + i, i);
        }
    }

    /** Crashes with many suspects, as callers state how many parts a prompt has. */
    @Nested
    class ManySuspects {
        private static final int SUSPECTS = 20_000;
        private static final long STALL_SECONDS = 60;

        // Guards against a process that stops while it compares each suspect of a crash with each other one.
        @Test
        @Timeout(value = STALL_SECONDS, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
        void areNotAllComparedWithEachOther() {
            PromptPartLedger large = PromptPartLedger.create(RETENTION_MILLIS, SUSPECTS);
            for (int crash = 0; crash < 4; crash++) {
                for (int part = 0; part < SUSPECTS; part++) {
                    large.addCrash("part-" + part, "e-" + crash, crash);
                }
            }
            long poison = IntStream.range(0, SUSPECTS)
                    .filter(part -> large.isPoison("part-" + part, 10))
                    .count();

            assertTrue(poison > 0 && poison < SUSPECTS, poison + " parts");
        }
    }

    @Nested
    class Poison {
        @Test
        void takesFourCrashesWithoutAnAnswer() {
            crash("part", 0, 3);
            assertFalse(ledger.isPoison("part", 10));
            crash("part", 3, 4);

            assertTrue(ledger.isPoison("part", 10));
        }

        @Test
        void endsWithTheRetentionTime() {
            crash("part", 0, 4);

            assertFalse(ledger.isPoison("part", RETENTION_MILLIS + 4));
        }

        @Test
        void doesNotDependOnTheOrderOfCrashesAndClearances() {
            for (int i = 0; i < 4; i++) {
                ledger.addClearance("part", "e-" + i);
            }
            crash("part", 0, 4);

            assertFalse(ledger.isPoison("part", 10));
        }

        @Test
        void takesOneCrashMoreForEachEarlierAnswer() {
            ledger.addAnswer("part");
            ledger.addAnswer("part");
            crash("part", 0, 5);
            assertFalse(ledger.isPoison("part", 10));
            crash("part", 5, 6);

            assertTrue(ledger.isPoison("part", 10));
        }
    }

    @Nested
    class Bounds {
        private static final int CRASHES = 1_000;
        private static final int KEPT = 100;

        /** Guards against memory and time that grow with each crash: common parts are near most of them. */
        @Test
        void keepTheLatestCrashesOfAPart() {
            for (int i = 0; i < CRASHES; i++) {
                crash("common", i, i + 1);
                ledger.addAnswer("common");
            }
            assertEquals(KEPT, ledger.crashCount("common"));
            assertTrue(ledger.suspicions("common", CRASHES).isEmpty());
            crash("common", CRASHES, CRASHES + 20);

            assertTrue(ledger.isPoison("common", CRASHES + 20));
        }

        @Test
        void forgetTheLeastRecentlyUsedPart() {
            crash("part", 0, 4);
            for (int i = 0; i < 10; i++) {
                ledger.addAnswer("other-" + i);
            }

            assertFalse(ledger.isPoison("part", 10));
        }
    }
}
