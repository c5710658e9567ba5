package baobabcroft.gateway;

import java.util.concurrent.CompletionStage;

/** Records charges durably. Thread-safe. */
public interface ChargeRecorder {
    /**
     * Checks that charges can be recorded at present. Called before a request is sent.
     *
     * @throws baobabcroft.common.RouterException with {@code billing_unavailable} and execution status "not run" if not
     */
    void requireAvailable();

    /**
     * Records a charge so that it survives the loss of this instance.
     *
     * @param charge the charge
     * @return completes when the charge is stored or held by another instance; fails with {@code billing_unavailable}
     *     if neither the store nor another instance could be reached
     */
    CompletionStage<Void> record(Charge charge);
}
