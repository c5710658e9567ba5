package baobabcroft.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import baobabcroft.model.TlcRunner;
import java.nio.file.Path;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks {@code Claim.tla} for two attempts, and that its invariants detect each broken variant of the protocol. */
class ClaimModelTest {
    private static final String[] FAULTS = {
        "BrokenNoClaim", "BrokenTakeOver", "BrokenRefusal", "BrokenRetry", "BrokenBlindWrite"
    };

    @TempDir
    Path directory;

    private TlcRunner claimRunner(String fault, String otherBody) {
        TlcRunner runner = TlcRunner.of("Claim")
                .constant("Attempts", "{a1, a2}")
                .constant("OtherBody", otherBody)
                .constant("MaxRevision", "3")
                .constant("MaxWrites", "2")
                .constant("MaxSends", "2");
        for (String name : FAULTS) {
            runner.constant(name, name.equals(fault) ? "TRUE" : "FALSE");
        }
        return runner;
    }

    @ParameterizedTest
    @CsvSource({"{}", "{a2}"})
    void protocolSatisfiesInvariants(String otherBody) {
        assertInstanceOf(
                TlcRunner.Outcome.Holds.class,
                claimRunner("none", otherBody)
                        .line("INVARIANTS TypeOK AtMostOnce NotRunIsTrue BilledAtMostOnce RecordedAnswerIsOwn")
                        .run(directory));
    }

    @ParameterizedTest
    @CsvSource({
        "BrokenNoClaim, AtMostOnce",
        "BrokenTakeOver, AtMostOnce",
        "BrokenRefusal, NotRunIsTrue",
        "BrokenRetry, AtMostOnce",
        "BrokenBlindWrite, AtMostOnce"
    })
    void brokenVariantViolatesInvariant(String fault, String property) {
        TlcRunner.Outcome outcome =
                claimRunner(fault, "{}").line("INVARIANT " + property).run(directory);
        assertEquals(
                property,
                assertInstanceOf(TlcRunner.Outcome.Violated.class, outcome).property());
    }
}
