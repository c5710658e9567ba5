package baobabcroft.common;

/** Whether a request may have run on an endpoint. */
public enum Execution {
    /**
     * The request provably did not run: no byte of it reached an endpoint, or its claim was durably withdrawn before it
     * was sent.
     */
    NOT_RUN("not_run"),

    /** The request reached, or may have reached, an endpoint, and its outcome is unknown. */
    MAY_HAVE_RUN("may_have_run"),

    /** The request ran, and its outcome is known. */
    RAN("ran");

    private final String wireName;

    Execution(String wireName) {
        this.wireName = wireName;
    }

    /**
     * Returns the value of the {@code execution} member of problem responses.
     *
     * @return the stable lower-case name, words joined by underscores
     */
    public String wireName() {
        return wireName;
    }

    /**
     * Returns the combined status of a request that consists of two parts, such as two attempts.
     *
     * @param other the status of the other part
     * @return {@link #NOT_RUN} if neither part ran; the other part's status if one part did not run; {@link #RAN} if
     *     both parts ran; otherwise {@link #MAY_HAVE_RUN}
     */
    public Execution combine(Execution other) {
        if (this == NOT_RUN) {
            return other;
        }
        if (other == NOT_RUN) {
            return this;
        }
        return this == RAN && other == RAN ? RAN : MAY_HAVE_RUN;
    }
}
