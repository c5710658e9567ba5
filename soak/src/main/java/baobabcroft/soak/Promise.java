package baobabcroft.soak;

/** The promises that a run judges. */
enum Promise {
    /** Promise on orders. */
    ONCE(false, "an order runs at most once"),
    /** Promise on refusals. */
    NOT_RUN(false, "no endpoint runs what an answer says not to run"),
    /** Promise on contents. */
    WHOLE_ANSWER(false, "answers and streams are whole, in order and without repetitions"),
    /** Promise on time. */
    IN_TIME(true, "each request gets an answer in its time, or loses its connection"),
    /** Promise on calm times. */
    SERVED(true, "without disturbances nearly all requests are served"),
    /** Promise on the configuration. */
    WITHDRAWN(true, "no caller with a withdrawn key is served"),
    /** Promise on endpoints that leave. */
    LEAVING(true, "an endpoint that has said that it leaves gets nothing new"),
    /** Promise on pauses. */
    PAUSE(true, "an endpoint gets two requests at most of an instance that it has told to pause"),
    /** Promise on limits. */
    LIMIT(true, "an endpoint gets no more than its limit allows of instances that know it"),
    /** Promise on brittle endpoints. */
    BRITTLE(true, "brittle endpoints seldom fall over"),
    /** Promise on cuts. */
    RECOVER(true, "instances cut off from the endpoints serve their callers"),
    /** Promise on evacuations. */
    EVACUATED(true, "endpoints of an evacuated failure domain get nothing new"),
    /** Promise on allowed regions. */
    REGIONS(true, "no request reaches an endpoint outside of its allowed regions");

    private final boolean timed;
    private final String text;

    Promise(boolean timed, String text) {
        this.timed = timed;
        this.text = text;
    }

    /** Returns whether the verdict depends on the machine's speed. */
    boolean isTimed() {
        return timed;
    }

    String text() {
        return text;
    }
}
