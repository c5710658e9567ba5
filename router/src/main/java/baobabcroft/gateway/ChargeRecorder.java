package baobabcroft.gateway;

import java.util.concurrent.CompletionStage;

/** Records what requests cost. Thread-safe. */
public interface ChargeRecorder {
    /**
     * Refuses a request whose charge could not be recorded at this moment.
     *
     * @throws baobabcroft.common.RouterException with {@code billing_unavailable}, not run
     */
    void requireAvailable();

    /**
     * Records a charge so that it outlives this instance.
     *
     * @param charge the charge
     * @return completes when the charge is durable or held by another instance too; fails with {@code
     *     billing_unavailable} when neither could be reached
     */
    CompletionStage<Void> record(Charge charge);
}
