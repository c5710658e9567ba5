package baobabcroft.rollout;

import baobabcroft.external.WriteResult;
import java.util.function.Consumer;

/** Tells operators how far a roll-out has come, in the words of their platform. */
@FunctionalInterface
public interface RolloutStatusWriter {
    /**
     * Tells operators the stage if what they were told is still at the revision.
     *
     * @param service name of the service
     * @param expectedRevision revision last seen; 0 if there is none
     * @param record the record
     * @param then receives what became of the write
     */
    void writeStatus(String service, long expectedRevision, RolloutRecord record, Consumer<WriteResult> then);
}
