package baobabcroft.relay;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * One header line.
 *
 * @param name its name, as spelled by the sender
 * @param value its value
 */
public record Header(String name, String value) {
    /** Checks the parts. */
    public Header {
        checkNotNull(name);
        checkNotNull(value);
    }
}
