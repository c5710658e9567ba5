package baobabcroft.rollout;

import baobabcroft.external.WriteResult;
import baobabcroft.replica.StoreRevision;
import java.util.function.Consumer;

/** Writes the shared state of rollouts. Callbacks run on the thread that called the method. */
public interface RolloutWriter extends RolloutStatusWriter {
    /**
     * Writes a rollout's record if its revision is still the expected one.
     *
     * @param service name of the service
     * @param expected revision last seen; {@link StoreRevision#absent} if there is no record
     * @param record the new record
     * @param callback receives the result of the write
     */
    void writeRecord(String service, StoreRevision expected, RolloutRecord record, Consumer<WriteResult> callback);

    /**
     * Publishes this instance's counts on a new version to the other instances.
     *
     * @param service name of the service
     * @param counts cumulative counts, which include those published before; without routes once the rollout has ended
     */
    void publishCounts(String service, RolloutCounts counts);
}
