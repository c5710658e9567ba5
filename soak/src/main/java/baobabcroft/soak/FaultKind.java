package baobabcroft.soak;

/** Kinds of disturbances. */
enum FaultKind {
    /** Some instances are killed and started again. */
    INSTANCE_KILL,
    /** Some instances are asked to stop, and started again when they have. */
    INSTANCE_STOP,
    /** Some instances do not run for a moment. */
    INSTANCE_FREEZE,
    /** Some instances lose their links to all endpoints: open ones fall silent, new ones are refused. */
    LINK_CUT,
    /** Some instances lose their links to all endpoints: open ones are reset, new ones are refused. */
    LINK_RESET,
    /** The store answers nothing. */
    STORE_DOWN,
    /** The store comes back from an older copy. */
    STORE_COPY,
    /** An endpoint ends with all its connections, and starts again. */
    ENDPOINT_CRASH,
    /** An endpoint is silent for a second. */
    ENDPOINT_SILENCE,
    /** Some or all endpoints want no requests for some time. */
    ENDPOINT_PAUSE,
    /** An endpoint names a limit. */
    ENDPOINT_LIMIT,
    /** All endpoints fall over if they have to reject too many requests. */
    ENDPOINT_BRITTLE,
    /** An endpoint says that it is shutting down, and starts again later. */
    ENDPOINT_LEAVING,
    /** The operators withdraw the callers' key, and give it back. */
    KEY_WITHDRAWN,
    /** The operators write large configurations in series. */
    CONFIG_SERIES,
    /** The operators order the evacuation of a failure domain, and end it. */
    EVACUATION,
    /** The operators allow some routes in one region only, and in all again. */
    REGIONS_LIMITED,
    /** Callers send several times as much. */
    BURST;

    /** Returns whether instances are disturbed, rather than what surrounds them. */
    boolean isOfInstances() {
        return this == INSTANCE_KILL || this == INSTANCE_STOP || this == INSTANCE_FREEZE || isCut();
    }

    /** Returns whether links between instances and endpoints are cut. */
    boolean isCut() {
        return this == LINK_CUT || this == LINK_RESET;
    }
}
