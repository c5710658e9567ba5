package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * One header line.
 *
 * @param name the name in the sender's spelling
 * @param value the value, unparsed
 */
public record Header(String name, String value) {
    /** Validates the components. */
    public Header {
        checkNotNull(name);
        checkNotNull(value);
    }
}
