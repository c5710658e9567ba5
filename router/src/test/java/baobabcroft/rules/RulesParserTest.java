package baobabcroft.rules;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

final class RulesParserTest {
    private static final String KEY_A = "a".repeat(64);
    private static final String KEY_B = "b".repeat(64);
    private static final String NEW_ENDPOINT = "endpoint e-2 max-concurrent=4";
    private static final List<String> BASE = List.of(
            "failure-domain fd-1 region=north # ann: site",
            "version small@1 state=open share=95 price=0.1 quality=0.7 # ann: in use",
            "version small@2 state=open share=5 price=0.123456 quality=0.8 automatic-stop=overruled # bob: roll-out",
            "version large@1 state=closed price=1 quality=1 # ann: fallback",
            "cascade helper models=small,large quality-target=0.85 # ann: cost",
            "operation ledger/order idempotent=no price=0.02 timeout=5s # eve: orders",
            "account shop key-sha256=" + KEY_A + " allow=helper,small@1,large,ledger/order priority=7 # eve: shop",
            "endpoint e-1 address=127.0.0.1:7101 failure-domain=fd-1 versions=small@1,small@2 max-concurrent=8"
                    + " # ann: x",
            "endpoint l-1 address=127.0.0.1:7201 failure-domain=fd-1 service=ledger max-concurrent=4"
                    + " checks-fencing=yes # eve: y");

    private static String base(String... more) {
        return String.join("\n", BASE) + "\n" + String.join("\n", more);
    }

    private static RuleSet valid(String text) {
        return assertInstanceOf(ParsedRules.Valid.class, RulesParser.parse(text))
                .rules();
    }

    private static List<RuleFault> faults(String text) {
        return assertInstanceOf(ParsedRules.Faulty.class, RulesParser.parse(text))
                .faults();
    }

    @Nested
    final class WhenTheFileIsValid {
        @Test
        void readsEveryValue() {
            RuleSet rules = valid(base());
            assertEquals(
                    Optional.of(new VersionRule(new VersionId("small", "2"), VersionState.OPEN, 5, 123_456, 0.8, true)),
                    rules.version(new VersionId("small", "2")));
            assertEquals(
                    Optional.of(new OperationRule("ledger", "order", false, 20_000, 5_000)),
                    rules.operation("ledger", "order"));
            assertEquals(
                    new EndpointRule(
                            "l-1",
                            HostAndPort.fromParts("127.0.0.1", 7201),
                            "fd-1",
                            Set.of(),
                            Optional.of("ledger"),
                            4,
                            true),
                    rules.endpoints().get("l-1"));
            assertEquals(
                    List.of("small", "large"),
                    rules.cascade("helper").orElseThrow().models());
            assertEquals(7, rules.account("shop").orElseThrow().priority());
        }

        @Test
        void keepsAuthorAndReasonOfEachRule() {
            ParsedRules.Valid parsed = assertInstanceOf(ParsedRules.Valid.class, RulesParser.parse(base()));
            assertEquals("bob", parsed.lines().get(2).author());
            assertEquals("roll-out", parsed.lines().get(2).reason());
        }

        @ParameterizedTest
        @ValueSource(strings = {"kovacic", "mizukumi"})
        void acceptsTheExamples(String deployment) throws IOException {
            Path file = Path.of("..", "examples", deployment, deployment + ".rules");
            RuleSet rules = valid(Files.readString(file));
            assertEquals(10, rules.accounts().size());
        }
    }

    @Nested
    final class WhenARuleIsFaulty {
        @ParameterizedTest
        @CsvSource(
                delimiter = '|',
                textBlock =
                        """
                failure-domain fd-2 region=north                                          | 33 | no comment
                failure-domain fd-2 region=north # ann                                    | 34 | no comment
                failure-domian fd-2 region=north # a: b                                   | 1  | unknown rule kind
                failure-domain fd-2 regoin=north # a: b | 21 | unknown failure-domain key
                failure-domain fd-2 region=north region=south # a: b                      | 34 | duplicate key region
                failure-domain fd-2 region= # a: b                                        | 21 | no value
                failure-domain fd-1 region=north # a: b                                   | 16 | duplicate rule
                failure-domain # a: b                                                     | 16 | name is ''
                cascade c models=small # a: b                                             | 9  | no quality-target
                cascade c models=small,small quality-target=0.5 # a: b                    | 24 | 'small' appears twice
                cascade c models=small,lrage quality-target=0.5 # a: b                    | 24 | unknown model
                cascade c models=small quality-target=1.01 # a: b                         | 39 | quality-target is
                cascade large models=small quality-target=1 # a: b                        | 9  | already the name
                operation small/x idempotent=no price=1 timeout=1s # a: b                 | 11 | already the name
                operation helper/x idempotent=no price=1 timeout=1s # a: b                | 11 | already the name
                operation s/x idempotent=maybe price=1 timeout=1s # a: b | 26 | unknown idempotent
                operation s/x idempotent=no price=0.1234567 timeout=1s # a: b             | 35 | price is
                operation s/x idempotent=no price=1 timeout=5min # a: b                   | 45 | timeout is
                operation s/x idempotent=no price=1 timeout=0ms # a: b                    | 45 | timeout is
                version small@3 state=closed share=5 price=1 quality=1 # a: b             | 30 | a share on a version
                version small@3 state=open share=5 price=1 quality=1 # a: b               | 28 | add up to 105
                version small@3 state=open price=1 quality=1 # a: b                       | 9  | no share
                version small@3 state=opne price=1 quality=1 # a: b                       | 23 | unknown state
                version tiny@1 state=open share=101 price=1 quality=1 # a: b              | 33 | share is
                version tiny state=withdrawn price=1 quality=1 # a: b                     | 9  | name is
                {e-2} address=127.0.0.1:7101 failure-domain=fd-1 service=ledger # a: b | 39 | same address
                {e-2} address=localhost:1 failure-domain=fd-1 service=ledger # a: b | 39 | address is
                {e-2} address=127.0.0.1:1 failure-domain=fd-9 service=ledger # a: b | 66 | unknown failure domain
                {e-2} address=127.0.0.1:1 failure-domain=fd-1 service=legder # a: b | 79 | unknown service
                {e-2} address=127.0.0.1:1 failure-domain=fd-1 versions=small@7 # a: b | 80 | unknown version
                {e-2} address=127.0.0.1:1 failure-domain=fd-1 # a: b | 10 | either versions or a service
                {e-2} address=[::1]:1 failure-domain=fd-1 versions=small@1 service=ledger # a: b | 10 | either versions
                """)
        void reportsPositionAndProblem(String rule, int column, String problem) {
            RuleFault fault = faults(base(rule.replace("{e-2}", NEW_ENDPOINT))).stream()
                    .filter(found -> found.problem().contains(problem))
                    .findFirst()
                    .orElseThrow();
            assertEquals(BASE.size() + 1, fault.line());
            assertEquals(column, fault.column(), fault.toString());
        }

        @Test
        void rejectsTwoAccountsWithTheSameKey() {
            List<RuleFault> faults = faults(base("account other key-sha256=" + KEY_A + " allow=small # a: b"));
            assertEquals(
                    "same key-sha256 as account shop on line 7", faults.get(0).problem());
        }

        @Test
        void rejectsTheSameAddressInTwoSpellings() {
            String first = "endpoint e-3 address=[::1]:1 failure-domain=fd-1 service=ledger max-concurrent=1 # a: b";
            String second = first.replace("e-3", "e-4").replace("[::1]", "[0:0::1]");
            assertEquals(
                    "same address as endpoint e-3 on line 10",
                    faults(base(first, second)).get(0).problem());
        }

        @Test
        void doesNotCheckTheSumOfSharesIfAStateIsInvalid() {
            List<RuleFault> faults = faults(base("version small@3 state=opne share=5 price=1 quality=1 # a: b"));
            assertEquals(
                    List.of("unknown state 'opne'"),
                    faults.stream().map(RuleFault::problem).toList());
        }

        @Test
        void suggestsTheNearestKnownWord() {
            List<RuleFault> faults = faults(base("account other key-sha256=" + KEY_B + " allow=smal # a: b"));
            assertEquals(Optional.of("small"), faults.get(0).nearest());
        }

        @Test
        void reportsAllFaultsInOrderOfPosition() {
            List<RuleFault> faults = faults("versoin a@1 state=open # x: y\ncascade c models=b quality-target=2\n");
            assertEquals(
                    List.of(1, 2, 2, 2), faults.stream().map(RuleFault::line).toList());
        }
    }

    @Nested
    final class Diff {
        @Test
        void listsAddedRemovedAndChangedRules() {
            String before = "failure-domain a region=x # ann: one\nfailure-domain b region=y # ann: two\n";
            String after = "failure-domain c region=z # bob: three\nfailure-domain a region=w # ann: one\n";
            assertEquals(
                    """
                    ~ failure-domain a region=x->w # ann: one
                    - failure-domain b region=y # ann: two
                    + failure-domain c region=z # bob: three""",
                    RulesDiff.between(before, after).render());
        }

        @Test
        void ignoresOrderSpacesAndCommentLines() {
            String before = "version m@1 price=1 state=open # a: b\n# note\nfailure-domain a region=x # a: b";
            String after = "failure-domain  a region=x  # a: b\n\nversion m@1 state=open price=1 # a: b";
            assertTrue(RulesDiff.between(before, after).isEmpty());
        }
    }
}
