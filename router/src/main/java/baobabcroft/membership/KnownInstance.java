package baobabcroft.membership;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * An instance in the base that majorities are counted over.
 *
 * @param name the instance
 * @param recent whether others may not have seen it in the list yet
 */
public record KnownInstance(String name, boolean recent) {
    /** Checks the parts. */
    public KnownInstance {
        checkNotNull(name);
    }
}
