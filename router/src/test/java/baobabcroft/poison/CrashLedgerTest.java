package baobabcroft.poison;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

final class CrashLedgerTest {
    private final CrashLedger ledger = CrashLedger.create(1_000, 2);

    @Test
    void requestIsPoisonAfterCrashesOfTwoDistinctEndpointsReportedByAnyInstance() {
        ledger.add(new Crash("d", "e1", 100));
        ledger.merge(List.of(new Crash("d", "e1", 150)));
        assertFalse(ledger.isPoison("d", 200));
        ledger.merge(List.of(new Crash("d", "e2", 160)));
        assertTrue(ledger.isPoison("d", 200));
    }

    @Test
    void crashesExpireAfterRetention() {
        ledger.merge(List.of(new Crash("d", "e1", 100), new Crash("d", "e2", 900)));
        assertTrue(ledger.isPoison("d", 1_099));
        assertFalse(ledger.isPoison("d", 1_100));
        assertEquals(List.of(new Crash("d", "e2", 900)), ledger.snapshot(1_100));
    }

    @Test
    void evictsOldestRequestBeyondLimit() {
        ledger.merge(List.of(new Crash("a", "e", 1), new Crash("b", "e", 2), new Crash("c", "e", 3)));
        assertEquals(List.of(new Crash("b", "e", 2), new Crash("c", "e", 3)), ledger.snapshot(4));
    }
}
