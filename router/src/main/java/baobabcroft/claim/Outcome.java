package baobabcroft.claim;

/** Outcome of a claimed request. */
public sealed interface Outcome {
    /**
     * The endpoint answered. The request is charged unless the answer has an error status.
     *
     * @param answer the complete answer
     */
    record Answered(RecordedAnswer answer) implements Outcome {}

    /** Provably nothing was sent; the claim is withdrawn, and the key can be claimed again. */
    record NotRun() implements Outcome {}

    /** The request was sent or may have been sent, and no complete answer was received. */
    record Unknown() implements Outcome {}
}
