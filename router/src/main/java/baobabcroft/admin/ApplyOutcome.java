package baobabcroft.admin;

import baobabcroft.common.Execution;
import baobabcroft.rules.RuleFault;
import baobabcroft.rules.RulesDiff;
import com.google.common.collect.ImmutableList;
import java.util.List;

/** Outcome of a change of the configuration. */
public sealed interface ApplyOutcome {
    /**
     * Every instance that takes work has applied the change.
     *
     * @param number number of the new configuration
     * @param confirmedBy names of the instances that have confirmed it
     */
    record Accepted(long number, List<String> confirmedBy) implements ApplyOutcome {
        /** Copies the names. */
        public Accepted {
            confirmedBy = ImmutableList.copyOf(confirmedBy);
        }
    }

    /**
     * The change is stored, but some instances have not confirmed it and may still take work under the old rules.
     *
     * @param number number of the new configuration
     * @param missing names of the instances that have not confirmed it
     */
    record Written(long number, List<String> missing) implements ApplyOutcome {
        /** Copies the names. */
        public Written {
            missing = ImmutableList.copyOf(missing);
        }
    }

    /**
     * The current configuration is no longer the one that the change is based on. The change was not stored.
     *
     * @param currentNumber number of the current configuration
     * @param diff difference from the base to the current configuration
     */
    record Conflict(long currentNumber, RulesDiff diff) implements ApplyOutcome {}

    /**
     * The rules file has faults. The change was not stored.
     *
     * @param faults all faults that were found
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
     * @param reason description of the failure
     */
    record Unavailable(Execution execution, String reason) implements ApplyOutcome {}
}
