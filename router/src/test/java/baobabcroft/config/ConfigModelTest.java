package baobabcroft.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import baobabcroft.model.TlcRunner;
import baobabcroft.model.TlcRunner.Outcome;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Checks the specification of the configuration protocol, and that omitting any of its rules is detected. */
class ConfigModelTest {
    @TempDir
    Path directory;

    private static TlcRunner config(Size size) {
        return TlcRunner.of("Config")
                .constant("Listed", size.listed)
                .constant("Unlisted", size.unlisted)
                .constant("Ops", size.operators)
                .constant("W", Integer.toString(size.ticks))
                .constant("Wait", Integer.toString(size.ticks))
                .constant("MaxInFlight", Integer.toString(size.maxInFlight))
                .constant("MaxRestarts", Integer.toString(size.maxRestarts))
                .line("SYMMETRY Symmetry")
                .line("INVARIANTS AcceptedMeansInForce OneWinner NoChangeLost AppliedIsWritten")
                .line("PROPERTY NeverReverts")
                .timeoutSeconds(590);
    }

    /** Bounds of the state space that one run checks. */
    enum Size {
        RESTARTS("{n1, n2, n3}", "{}", "{o1}", 0, 1, 1),
        UNLISTED("{n1, n2}", "{n3}", "{o1}", 0, 0, 1),
        DELAYS("{n1, n2}", "{}", "{o1}", 1, 0, 1),
        UNLISTED_DELAYS("{n1, n2}", "{n3}", "{o1}", 1, 0, 1),
        LONGER_TIME("{n1, n2, n3}", "{}", "{o1}", 0, 0, 2),
        RACE("{n1, n2}", "{}", "{o1, o2}", 0, 1, 1);

        private final String listed;
        private final String unlisted;
        private final String operators;
        private final int maxInFlight;
        private final int maxRestarts;
        private final int ticks;

        Size(String listed, String unlisted, String operators, int maxInFlight, int maxRestarts, int ticks) {
            this.listed = listed;
            this.unlisted = unlisted;
            this.operators = operators;
            this.maxInFlight = maxInFlight;
            this.maxRestarts = maxRestarts;
            this.ticks = ticks;
        }
    }

    @Nested
    class Protocol {
        /** The sizes of each build, and with {@code -Dmodel.deep=true} those that take longer. */
        static Stream<Arguments> sizes() {
            Stream<Arguments> usual = Stream.of(
                    Arguments.of(Size.RESTARTS, 236_053),
                    Arguments.of(Size.UNLISTED, 11_343),
                    Arguments.of(Size.DELAYS, 5_582),
                    Arguments.of(Size.RACE, 27_631));
            Stream<Arguments> deep =
                    Stream.of(Arguments.of(Size.UNLISTED_DELAYS, 663_711), Arguments.of(Size.LONGER_TIME, 1_250_335));
            return Boolean.getBoolean("model.deep") ? Stream.concat(usual, deep) : usual;
        }

        @ParameterizedTest
        @MethodSource("sizes")
        void allReachableStatesSatisfyTheInvariants(Size size, long distinctStates) {
            Outcome outcome = config(size).constant("Broken", "\"nothing\"").run(directory);

            assertEquals(new Outcome.Holds(distinctStates), outcome);
        }
    }

    @Nested
    class BrokenVariants {
        @ParameterizedTest
        @CsvSource({
            "acceptedWhenWritten, RESTARTS, AcceptedMeansInForce",
            "noFreshnessCheck, RESTARTS, AcceptedMeansInForce",
            "timeFromArrival, UNLISTED_DELAYS, AcceptedMeansInForce",
            "majorityOfHeard, RESTARTS, AcceptedMeansInForce",
            "olderApplied, DELAYS, NeverReverts",
            "allConfirmedAtOnce, UNLISTED, AcceptedMeansInForce",
            "newStartsCount, RESTARTS, AcceptedMeansInForce"
        })
        void omittedRuleYieldsACounterexample(String broken, Size size, String property) {
            Outcome outcome =
                    config(size).constant("Broken", '"' + broken + '"').run(directory);

            assertEquals(
                    property, assertInstanceOf(Outcome.Violated.class, outcome).property());
        }
    }
}
