package baobabcroft.admin;

import baobabcroft.common.Execution;
import baobabcroft.rules.RuleFault;
import baobabcroft.rules.RulesDiff;
import com.google.common.collect.ImmutableList;
import java.util.List;

/** What became of a change of configuration. */
public sealed interface ApplyOutcome {
    /**
     * The change is in force on every instance that takes work.
     *
     * @param number number of the new configuration
     * @param confirmedBy instances that have confirmed it
     */
    record Accepted(long number, List<String> confirmedBy) implements ApplyOutcome {
        /** Copies the names. */
        public Accepted {
            confirmedBy = ImmutableList.copyOf(confirmedBy);
        }
    }

    /**
     * The change is stored, but instances that may still take work by the old rules have not confirmed it.
     *
     * @param number number of the new configuration
     * @param missing instances that have not confirmed it
     */
    record Written(long number, List<String> missing) implements ApplyOutcome {
        /** Copies the names. */
        public Written {
            missing = ImmutableList.copyOf(missing);
        }
    }

    /**
     * The configuration is no longer the one that the change is based on. Nothing of the change is in force.
     *
     * @param currentNumber number of the current configuration
     * @param diff difference from the base to the current configuration
     */
    record Conflict(long currentNumber, RulesDiff diff) implements ApplyOutcome {}

    /**
     * The rules have faults. Nothing of the change is in force.
     *
     * @param faults all faults
     */
    record Invalid(List<RuleFault> faults) implements ApplyOutcome {
        /** Copies the faults. */
        public Invalid {
            faults = ImmutableList.copyOf(faults);
        }
    }

    /**
     * The platform's store did not answer.
     *
     * @param execution whether the change may have been stored
     * @param reason what was seen
     */
    record Unavailable(Execution execution, String reason) implements ApplyOutcome {}
}
