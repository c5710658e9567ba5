package baobabcroft.rules;

import com.google.common.collect.ImmutableList;
import java.util.List;

/** Result of parsing a rules file. Immutable. */
public sealed interface ParsedRules {
    /**
     * The result for a file without faults.
     *
     * @param rules the validated rules
     * @param lines the rules as written, in the order of the file
     */
    record Valid(RuleSet rules, List<RuleLine> lines) implements ParsedRules {
        /** Makes an immutable copy of the lines. */
        public Valid {
            lines = ImmutableList.copyOf(lines);
        }
    }

    /**
     * The result for a file with faults.
     *
     * @param faults all faults, ordered by line and column; never empty
     */
    record Faulty(List<RuleFault> faults) implements ParsedRules {
        /** Makes an immutable copy of the faults. */
        public Faulty {
            faults = ImmutableList.copyOf(faults);
        }
    }
}
