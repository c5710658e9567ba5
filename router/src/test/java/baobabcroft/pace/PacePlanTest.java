package baobabcroft.pace;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PacePlanTest {
    /** Guards the arithmetic that the bound of 18.2 requests a second relies on; the table of the design note. */
    @ParameterizedTest
    @CsvSource({"1, 1, 4, 276", "3, 3, 3, 367", "9, 5, 2, 569", "82, 10, 1, 1137", "300, 10, 1, 1137"})
    void sharesOfPayrollEngines(int instances, int holders, int perWindow, long spacingMillis) {
        assertEquals(new PacePlan(holders, spacingMillis, perWindow), PacePlan.of(8.8, 18.2, instances));
    }
}
