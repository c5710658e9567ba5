package baobabcroft.rollout;

import baobabcroft.external.WriteResult;
import baobabcroft.replica.StoreRevision;
import java.util.function.Consumer;

/** Writes the status of a rollout for operators, in the format of their platform. */
@FunctionalInterface
public interface RolloutStatusWriter {
    /**
     * Writes the status of a rollout if its revision is still the expected one.
     *
     * @param service name of the service
     * @param expected revision last seen; {@link StoreRevision#absent} if there is no status
     * @param record record with the stage to write
     * @param callback receives the result of the write
     */
    void writeStatus(String service, StoreRevision expected, RolloutRecord record, Consumer<WriteResult> callback);
}
