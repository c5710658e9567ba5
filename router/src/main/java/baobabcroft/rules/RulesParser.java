package baobabcroft.rules;

import com.google.common.collect.ImmutableList;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** Parses and validates rules files, including references between rules. Stateless and thread-safe. */
public final class RulesParser {
    private RulesParser() {}

    /**
     * Returns the rules of a rules file, or all of its faults.
     *
     * @param text the contents of the whole file
     * @return the rules if the file is valid, otherwise every fault that was found
     */
    public static ParsedRules parse(String text) {
        ImmutableList<RuleLine> lines = RuleLine.splitAll(text);
        FaultCollector faults = new FaultCollector();
        RuleSet.Builder rules = RuleSet.builder();
        for (RuleLine line : lines) {
            checkComment(line, faults);
            Optional<RuleKind> kind = RuleKind.of(line.kind());
            if (kind.isEmpty()) {
                faults.addUnknown(line.number(), line.kindColumn(), "rule kind", line.kind(), RuleKind.keywords());
                continue;
            }
            checkKeys(line, kind.get(), faults);
            new RuleReader(line, faults).readInto(rules, kind.get());
        }
        new ConsistencyChecker(lines, faults).check();
        if (!faults.isEmpty()) {
            return new ParsedRules.Faulty(faults.sorted());
        }
        return new ParsedRules.Valid(rules.build(), lines);
    }

    private static void checkComment(RuleLine line, FaultCollector faults) {
        if (line.author().isEmpty() || line.reason().isEmpty()) {
            String problem = "no comment that names who asked for the rule and why";
            faults.add(line.number(), line.commentColumn(), problem, "'# who: why' at the end of the line");
        }
    }

    private static void checkKeys(RuleLine line, RuleKind kind, FaultCollector faults) {
        Set<String> seen = new HashSet<>();
        for (RuleWord word : line.words()) {
            if (!kind.keys().contains(word.key())) {
                faults.addUnknown(line.number(), word.column(), kind.keyword() + " key", word.key(), kind.keys());
            } else if (word.value().isEmpty()) {
                faults.add(line.number(), word.column(), "no value for " + word.key(), word.key() + "=<value>");
            } else if (!seen.add(word.key())) {
                faults.add(
                        line.number(), word.column(), "duplicate key " + word.key(), "each key at most once in a rule");
            }
        }
        for (String key : kind.requiredKeys()) {
            if (line.word(key).isEmpty()) {
                faults.add(line.number(), line.nameColumn(), "no " + key, key + "=<value>");
            }
        }
    }
}
