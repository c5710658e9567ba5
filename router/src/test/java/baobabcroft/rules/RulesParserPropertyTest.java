package baobabcroft.rules;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

final class RulesParserPropertyTest {
    private final String example;

    RulesParserPropertyTest() throws IOException {
        example = Files.readString(Path.of("..", "examples", "kovacic", "kovacic.rules"));
    }

    @Property(tries = 1000, seed = "20261204")
    void everyFaultHasAPositionInTheText(@ForAll("texts") String text) {
        List<String> lines = text.lines().toList();
        if (RulesParser.parse(text) instanceof ParsedRules.Faulty faulty) {
            assertTrue(!faulty.faults().isEmpty());
            for (RuleFault fault : faulty.faults()) {
                assertTrue(fault.line() >= 1 && fault.line() <= lines.size(), fault.toString());
                int length = lines.get(fault.line() - 1).length();
                assertTrue(fault.column() >= 1 && fault.column() <= length + 1, fault.toString());
            }
        }
    }

    @Property(tries = 200, seed = "20261204")
    void renderingAndParsingAValidFileKeepsItsRules(@ForAll("shuffles") List<String> shuffled) {
        ParsedRules.Valid parsed =
                assertInstanceOf(ParsedRules.Valid.class, RulesParser.parse(String.join("\n", shuffled)));
        String rendered = parsed.lines().stream().map(RuleLine::render).collect(Collectors.joining("\n"));
        ParsedRules.Valid again = assertInstanceOf(ParsedRules.Valid.class, RulesParser.parse(rendered));
        assertEquals(parsed.rules().endpoints(), again.rules().endpoints());
        assertEquals(parsed.rules().accounts(), again.rules().accounts());
        assertEquals(parsed.rules().versions(), again.rules().versions());
        assertTrue(RulesDiff.between(example, rendered).isEmpty());
    }

    @Provide
    Arbitrary<List<String>> shuffles() {
        return Arbitraries.shuffle(example.lines().toList());
    }

    @Provide
    Arbitrary<String> texts() {
        return Arbitraries.oneOf(Arbitraries.strings().ofMaxLength(80), mutations(), randomWordSequences());
    }

    private Arbitrary<String> mutations() {
        Arbitrary<Integer> start = Arbitraries.integers().between(0, example.length());
        Arbitrary<Integer> length = Arbitraries.integers().between(0, 40);
        Arbitrary<String> insert = Arbitraries.strings().ofMaxLength(10);
        return Combinators.combine(start, length, insert)
                .as((from, cut, text) ->
                        example.substring(0, from) + text + example.substring(Math.min(example.length(), from + cut)));
    }

    private Arbitrary<String> randomWordSequences() {
        return Arbitraries.of(
                        "version",
                        "endpoint",
                        "account",
                        "cascade",
                        "operation",
                        "a@1",
                        "s/o",
                        "state=open",
                        "share=",
                        "share=50",
                        "versions=a@1,",
                        "=",
                        "models=,",
                        "address=1.2.3.4:5",
                        "allow=a@1,a@1",
                        "#",
                        ":",
                        "\n",
                        "\r",
                        "\t",
                        "price=99999999999",
                        "timeout=1s",
                        "service=s")
                .list()
                .ofMaxSize(40)
                .map(words -> String.join(" ", words));
    }
}
