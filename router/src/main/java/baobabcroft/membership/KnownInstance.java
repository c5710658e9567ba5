package baobabcroft.membership;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * An instance over which majorities are counted.
 *
 * @param name name of the instance
 * @param recent whether it was listed so recently that other instances may not have seen it in the list
 */
public record KnownInstance(String name, boolean recent) {
    /** Rejects a null name. */
    public KnownInstance {
        checkNotNull(name);
    }
}
