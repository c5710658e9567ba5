package baobabcroft.rollout;

import baobabcroft.external.WriteResult;
import java.util.function.Consumer;

/** Writes what instances share of roll-outs. Calls back on the caller's thread. */
public interface RolloutWriter extends RolloutStatusWriter {
    /**
     * Writes a roll-out's record if it is still at the revision.
     *
     * @param service name of the service
     * @param expectedRevision revision last seen; 0 if there is none
     * @param record the new record
     * @param then receives what became of the write
     */
    void writeRecord(String service, long expectedRevision, RolloutRecord record, Consumer<WriteResult> then);

    /**
     * Tells the other instances this one's counts of the new version.
     *
     * @param service name of the service
     * @param counts its counts; those told later hold them too
     */
    void publishCounts(String service, RolloutCounts counts);
}
