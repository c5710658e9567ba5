package baobabcroft.config;

import baobabcroft.rules.RuleFault;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Set;

/** The result of a proposed change. */
public sealed interface ProposalResult {
    /**
     * The change was accepted: no instance accepts new work under an earlier configuration any more.
     *
     * @param number document number of the change
     * @param confirmedBy the instances that have applied it
     * @param missing the instances that have not confirmed it; they accept no new work until they have applied it
     */
    record Accepted(long number, Set<String> confirmedBy, Set<String> missing) implements ProposalResult {
        /** Copies the sets. */
        public Accepted {
            confirmedBy = ImmutableSet.copyOf(confirmedBy);
            missing = ImmutableSet.copyOf(missing);
        }
    }

    /**
     * The change was written, but not yet accepted when the wait ended.
     *
     * @param number document number of the change
     * @param missing the instances that have not confirmed it
     */
    record Written(long number, Set<String> missing) implements ProposalResult {
        /** Copies the set. */
        public Written {
            missing = ImmutableSet.copyOf(missing);
        }
    }

    /**
     * The configuration has changed since the base of this change, which was not written.
     *
     * @param current the current document
     */
    record Conflict(ConfigDocument current) implements ProposalResult {}

    /**
     * The rules file is invalid; the change was not written.
     *
     * @param faults the errors in the rules file
     */
    record Invalid(List<RuleFault> faults) implements ProposalResult {
        /** Copies the faults. */
        public Invalid {
            faults = ImmutableList.copyOf(faults);
        }
    }

    /**
     * The base of the change, or the document to roll back to, does not exist.
     *
     * @param number number of the missing document
     */
    record UnknownNumber(long number) implements ProposalResult {}

    /**
     * The store did not answer, or its state does not allow a write.
     *
     * @param reason description of the failure
     * @param mayBeWritten whether the change may have been written, or may still be written; proposing it again returns
     *     its result
     */
    record Unavailable(String reason, boolean mayBeWritten) implements ProposalResult {}
}
