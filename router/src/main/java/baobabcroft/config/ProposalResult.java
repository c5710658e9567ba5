package baobabcroft.config;

import baobabcroft.rules.RuleFault;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Set;

/** What became of a change. */
public sealed interface ProposalResult {
    /**
     * The change is in force everywhere and stays so.
     *
     * @param number its number
     * @param confirmedBy the instances that work under it
     * @param missing the instances that did not confirm it, and take no new work until they have applied it
     */
    record Accepted(long number, Set<String> confirmedBy, Set<String> missing) implements ProposalResult {
        /** Copies the sets. */
        public Accepted {
            confirmedBy = ImmutableSet.copyOf(confirmedBy);
            missing = ImmutableSet.copyOf(missing);
        }
    }

    /**
     * The change is written, and was not known to be in force everywhere when the wait ended.
     *
     * @param number its number
     * @param missing the instances that have not confirmed it
     */
    record Written(long number, Set<String> missing) implements ProposalResult {
        /** Copies the set. */
        public Written {
            missing = ImmutableSet.copyOf(missing);
        }
    }

    /**
     * Someone else changed the configuration since the base; nothing of this change is written.
     *
     * @param current what holds now
     */
    record Conflict(ConfigDocument current) implements ProposalResult {}

    /**
     * The rules file has faults; nothing is written.
     *
     * @param faults the faults
     */
    record Invalid(List<RuleFault> faults) implements ProposalResult {
        /** Copies the faults. */
        public Invalid {
            faults = ImmutableList.copyOf(faults);
        }
    }

    /**
     * The number to go back to, or the base, does not exist.
     *
     * @param number the number
     */
    record UnknownNumber(long number) implements ProposalResult {}

    /**
     * The store did not answer.
     *
     * @param reason what was seen
     * @param mayBeWritten whether the change may have been written, or may yet; proposing it again finds out
     */
    record Unavailable(String reason, boolean mayBeWritten) implements ProposalResult {}
}
