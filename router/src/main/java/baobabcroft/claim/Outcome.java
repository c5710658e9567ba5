package baobabcroft.claim;

/** What became of a claimed request. */
public sealed interface Outcome {
    /**
     * The endpoint answered; the request is billed.
     *
     * @param answer the whole answer
     */
    record Answered(RecordedAnswer answer) implements Outcome {}

    /** Provably nothing was sent: the claim is withdrawn and the key is free again. */
    record NotRun() implements Outcome {}

    /** The request was sent, or may have been, and no whole answer came. */
    record Unknown() implements Outcome {}
}
