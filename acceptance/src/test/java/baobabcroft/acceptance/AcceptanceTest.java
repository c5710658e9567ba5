package baobabcroft.acceptance;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cucumber.core.cli.Main;
import org.junit.jupiter.api.Test;

/**
 * Runs all scenarios, or those that the system property {@code cucumber.filter.name} names.
 *
 * <p>Cucumber's own engine for the JUnit platform needs a newer platform than the build has, so this goes through its
 * command line.
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
