package baobabcroft.acceptance;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cucumber.core.cli.Main;
import org.junit.jupiter.api.Test;

/**
 * Runs all scenarios, or those selected by the system property {@code cucumber.filter.name}.
 *
 * <p>Cucumber's JUnit Platform engine requires a newer JUnit Platform than the build uses, so the test calls Cucumber's
 * command-line entry point.
 */
final class AcceptanceTest {
    private static final byte ALL_PASSED = 0;

    @Test
    void allScenariosPass() {
        byte status = Main.run(
                "--monochrome",
                "--plugin",
                "pretty",
                "--plugin",
                "summary",
                "--glue",
                "baobabcroft.acceptance",
                "classpath:features");
        assertEquals(ALL_PASSED, status, "Cucumber's exit status; the failed scenarios are printed above");
    }
}
