package baobabcroft.common;

/** Verdict on whether a request may have run on an endpoint. */
public enum Execution {
    /** Provably nothing ran: no byte reached an endpoint, or the claim was durably withdrawn before a send. */
    NOT_RUN("not_run"),

    /** The request reached, or may have reached, an endpoint and its outcome is not known. */
    MAY_HAVE_RUN("may_have_run"),

    /** The request ran and its outcome is known. */
    RAN("ran");

    private final String wireName;

    Execution(String wireName) {
        this.wireName = wireName;
    }

    /**
     * Returns the name that callers see in the {@code execution} member of a refusal.
     *
     * @return the stable lower-case name
     */
    public String wireName() {
        return wireName;
    }

    /**
     * Returns the verdict on a request of which two parts carry a verdict each.
     *
     * @param other the other part's verdict
     * @return the verdict that claims less
     */
    public Execution and(Execution other) {
        if (this == NOT_RUN) {
            return other;
        }
        if (other == NOT_RUN) {
            return this;
        }
        return this == RAN && other == RAN ? RAN : MAY_HAVE_RUN;
    }
}
