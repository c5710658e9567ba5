package baobabcroft.rules;

import com.google.common.collect.ImmutableList;
import java.util.List;

/** Outcome of parsing a rules file. */
public sealed interface ParsedRules {
    /**
     * The file has no fault.
     *
     * @param rules the rules
     * @param lines the rules as they stand in the file, in its order
     */
    record Valid(RuleSet rules, List<RuleLine> lines) implements ParsedRules {
        /** Copies the lines. */
        public Valid {
            lines = ImmutableList.copyOf(lines);
        }
    }

    /**
     * The file has faults.
     *
     * @param faults all faults, in the order of their places
     */
    record Faulty(List<RuleFault> faults) implements ParsedRules {
        /** Copies the faults. */
        public Faulty {
            faults = ImmutableList.copyOf(faults);
        }
    }
}
